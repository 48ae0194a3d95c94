//! Settings of the optional parts of the scheduling.

use std::time::Duration;

use kingcupfield_decisions::scheduling::SchedulingOptions;
use kingcupfield_entry::settings::{Settings, SettingsError};
use yare::parameterized;

/// Settings with a value of the field `scheduling`; none leaves the field out.
fn parse(scheduling: Option<&str>) -> Result<Settings, SettingsError> {
    let scheduling = scheduling.map_or_else(String::new, |s| format!(r#","scheduling":{s}"#));
    Settings::parse(&format!(
        r#"{{"instance":"i","availability_zone":"z","region":"r","regions_by_zone":{{"z":"r"}},
"listen":"127.0.0.1:1","ready_listen":"127.0.0.1:2","peer_listen":"127.0.0.1:3","peer_port":4,"contacts":[],
"directory":"127.0.0.1:5","grace_s":8,"limit_window_s":8,
"repeats":{{"ratio":0.2,"window_s":10,"extra":54}}{scheduling}}}"#
    ))
}

struct RangeCase {
    part: &'static str,
    field: &'static str,
    /// Smallest and largest permitted value.
    range: (&'static str, &'static str),
    /// Values below and above the range.
    outside: [&'static str; 2],
}

impl RangeCase {
    fn with(&self, value: &str) -> Result<Settings, SettingsError> {
        let (part, field) = (self.part, self.field);
        parse(Some(&format!(r#"{{"{part}":{{"{field}":{value}}}}}"#)))
    }
}

/// An operator mistypes a value. With a half-life of 0 or a ratio below 1 the part would do harm, and
/// an error without the name of the field leaves the operator to guess which of them it means.
#[parameterized(
    fair_order = { RangeCase { part: "fair_order", field: "half_life_s", range: ("0.1", "60"), outside: ["0.09", "60.1"] } },
    load_reports = { RangeCase { part: "load_reports", field: "half_life_ms", range: ("10", "10000"), outside: ["0", "10001"] } },
    warm_up = { RangeCase { part: "warm_up", field: "slow_ratio", range: ("1.2", "10"), outside: ["1", "11"] } },
)]
fn values_out_of_range_are_refused_with_the_name_of_the_field(case: RangeCase) {
    let name = format!("scheduling.{}.{}", case.part, case.field);
    for value in case.outside {
        let error = case.with(value).expect_err("a value out of range");
        assert!(error.to_string().contains(&name), "{error}");
    }
    for value in [case.range.0, case.range.1] {
        let settings = case.with(value).expect("a value of the range");
        assert_ne!(settings.scheduling.options(), SchedulingOptions::default());
    }
}

/// A part or field is misspelt, has no value or one of the wrong type. If that were ignored, the part
/// would stay off and nobody would know.
#[parameterized(
    unknown_part = { r#"{"fair_ordr":{"half_life_s":2}}"#, "fair_ordr" },
    unknown_field = { r#"{"fair_order":{"half_life_s":1,"claims":2}}"#, "claims" },
    missing_field = { r#"{"warm_up":{}}"#, "slow_ratio" },
    wrong_type = { r#"{"warm_up":{"slow_ratio":"2"}}"#, "invalid type" },
    not_a_number = { r#"{"warm_up":{"slow_ratio":NaN}}"#, "expected value" },
    no_object = { r"true", "invalid type" },
)]
fn malformed_settings_are_refused(scheduling: &str, message: &str) {
    let error = parse(Some(scheduling)).expect_err("malformed settings");
    assert!(error.to_string().contains(message), "{error}");
}

/// A deployment without the settings must be served as before.
#[parameterized(
    absent = { None },
    empty = { Some("{}") },
    no_part = { Some(r#"{"fair_order":null}"#) },
)]
fn a_part_that_is_not_set_is_off(scheduling: Option<&str>) {
    let settings = parse(scheduling).expect("settings");
    assert_eq!(settings.scheduling.options(), SchedulingOptions::default());
}

/// Guards against a part that stays as it was after a reload, or that is logged as in force only after
/// the next start.
#[test]
fn a_reload_switches_parts_on_and_off() {
    let off = parse(None).expect("settings");
    let on = parse(Some(
        r#"{"fair_order":{"half_life_s":2},"load_reports":{"half_life_ms":250}}"#,
    ));
    let on = on.expect("settings");
    assert_eq!(off.differences(&on), ["scheduling"]);
    assert!(Settings::RELOADABLE.contains(&"scheduling"));

    let mut running = off.clone();
    running.apply_reloadable(&on);

    let options = running.scheduling.options();
    let half_life = options.load_reports.map(|o| o.half_life);
    assert_eq!(half_life, Some(Duration::from_millis(250)));
    let half_life = options.fair_order.map(|o| o.half_life);
    assert_eq!(half_life, Some(Duration::from_secs(2)));

    running.apply_reloadable(&off);

    assert_eq!(running.scheduling.options(), SchedulingOptions::default());
}
