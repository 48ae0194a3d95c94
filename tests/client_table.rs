//! End-to-end tests of `kingcup table` that run the compiled binary.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use yare::parameterized;

fn run_kingcup(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_kingcup"))
        .args(args)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("the client starts")
}

fn stdout(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).expect("UTF-8")
}

fn stderr(output: &Output) -> &str {
    std::str::from_utf8(&output.stderr).expect("UTF-8")
}

/// Writes a file in the directory for test data; each test uses names of its own.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the file is written");
    path
}

fn check_table(path: &Path) -> Output {
    run_kingcup(&["table", "check", path.to_str().expect("UTF-8")])
}

#[parameterized(harrowgate = { "harrowgate" }, lotus = { "lotus" })]
fn examples_are_unchanged_by_a_csv_round_trip(firm: &str) {
    let json = format!("examples/{firm}/table.json");
    let csv = format!("examples/{firm}/table.csv");
    let shipped = fs::read_to_string(&csv).expect("the example is there");
    assert_eq!(stdout(&run_kingcup(&["table", "to-csv", &json])), shipped);

    let back = run_kingcup(&["table", "from-csv", &csv]);
    let back = write_file(&format!("back-{firm}.json"), stdout(&back));
    let same = run_kingcup(&["table", "diff", &json, back.to_str().expect("UTF-8")]);
    assert_eq!(stdout(&same), "nothing changes\n");
}

#[test]
fn all_faults_of_a_csv_table_are_reported() {
    let path = write_file(
        "faults.csv",
        "kind,name,rank,weight,max_tier,requests_per_s,max_running,color\n\
         tier,urgent,first,8,,,,\n\
         tier,normal,1,,,50,,\n\
         \n\
         organisation,,,2,urgent,\"0,5\",ten,\n\
         customer,terminal-a,,2,urgent,,,\n",
    );
    let output = check_table(&path);
    assert_eq!(output.status.code(), Some(2));
    let locations: Vec<_> = stdout(&output)
        .lines()
        .map(|line| line.split(':').next().expect("a place"))
        .collect();
    let expected = [
        "line 1, color",
        "line 6, kind",
        "line 2, rank",
        "line 3, requests_per_s",
        "line 3, weight",
        "line 5, name",
        "line 5, requests_per_s",
        "line 5, max_running",
    ];
    assert!(
        expected.iter().all(|e| locations.contains(e)),
        "{locations:?}"
    );
    assert!(stderr(&output).contains("next: mend the rows"));
}

#[test]
fn all_faults_of_a_json_table_are_reported() {
    let path = write_file(
        "faults.json",
        r#"{"tiers": [{"tier": "urgent", "rank": "0", "weight": 8}],
            "organisations": [
              {"organisation": "a", "weight": -1, "max_tier": "urgent", "request_per_s": 5},
              7]}"#,
    );
    let path = path.to_str().expect("UTF-8");
    let output = run_kingcup(&["table", "check", "--json", path]);
    assert_eq!(output.status.code(), Some(2));
    let verdict: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(verdict["accepted"], false);
    let faults = verdict["faults"].as_array().expect("a list");
    let locations: Vec<_> = faults
        .iter()
        .map(|f| (f["row"].as_str().unwrap(), f["column"].as_str().unwrap()))
        .collect();
    for expected in [
        ("tiers[0]", "rank"),
        ("organisations[0]", "weight"),
        ("organisations[0]", "request_per_s"),
        ("organisations[1]", ""),
    ] {
        assert!(
            locations.contains(&expected),
            "{expected:?} in {locations:?}"
        );
    }
}

#[test]
fn invalid_values_are_reported_by_line() {
    let path = write_file(
        "meaning.csv",
        "kind,name,rank,weight,max_tier,requests_per_s,tokens_per_s,max_running,key_sha256\n\
         organisation,a,,2,urgnt,inf,,,\n\
         organisation,a,,0,urgent,-1,,0,secret\n\
         tier,urgent,0,8,,,,,\n\
         tier,normal,0,8,,,,,\n",
    );
    let output = check_table(&path);
    let expected = [
        "line 2, max_tier: \"urgnt\" is not a tier; right would be: one of urgent, normal",
        "line 2, requests_per_s: inf is not a valid limit",
        "line 3, name: a is also in organisation row 1",
        "line 3, weight: 0 would never be served",
        "line 3, requests_per_s: -1 is not a valid limit",
        "line 3, max_running: 0 is not a valid limit",
        "line 3, key_sha256: a cell of 6 characters is not a hash",
        "line 5, rank: 0 is also in tier row 1",
    ];
    let text = stdout(&output);
    for line in expected {
        assert!(text.contains(line), "{line} in {text}");
    }
    assert_eq!(text.lines().count(), expected.len(), "{text}");
    assert!(
        !text.contains("secret"),
        "a key typed in by mistake is not repeated"
    );
}

#[parameterized(
    semicolons = { "semicolons.csv", ";" },
    tabs = { "tabs.csv", "\t" },
)]
fn other_delimiters_are_read(name: &str, delimiter: &str) {
    let text = fs::read_to_string("examples/harrowgate/table.csv").expect("the example");
    let path = write_file(name, &text.replace(',', delimiter));
    let path = path.to_str().expect("UTF-8");
    let output = run_kingcup(&["table", "diff", "examples/harrowgate/table.json", path]);
    assert_eq!(stdout(&output), "nothing changes\n", "{}", stderr(&output));
}

#[test]
fn show_prints_the_share_of_each_organisation() {
    let output = run_kingcup(&["table", "show", "examples/harrowgate/table.json"]);
    let text = stdout(&output);
    assert!(text.contains("urgent, then normal, then batch"), "{text}");
    // The organisations that may use the highest tier have weights 4, 3 and 2.
    assert!(
        text.contains("north-sea-terminals gets 44.4 % of urgent"),
        "{text}"
    );
    assert!(text.contains("training-desk gets 8.3 % of batch"), "{text}");
    assert!(text.contains("at most 5 requests a second"), "{text}");
}

#[test]
fn diff_prints_changed_shares() {
    let text = fs::read_to_string("examples/harrowgate/table.csv").expect("the example");
    let text = text.replace("baltic-terminals,,3,", "baltic-terminals,,6,");
    let path = write_file("moved.csv", &text);
    let path = path.to_str().expect("UTF-8");
    let output = run_kingcup(&["table", "diff", "examples/harrowgate/table.csv", path]);
    let text = stdout(&output);
    assert!(
        text.contains("organisation baltic-terminals changes\n  weight: 3 -> 6"),
        "{text}"
    );
    assert!(text.contains("share of urgent: 33.3 % -> 50.0 %"), "{text}");
    assert!(
        text.contains("organisation iberia-terminals is affected by the others' changes\n"),
        "{text}"
    );
}

/// An invalid command line and the expected error.
struct Usage {
    args: &'static [&'static str],
    /// Expected exit code of the process.
    code: i32,
    /// Text that stderr must contain.
    message: &'static str,
}

#[parameterized(
    no_command = { Usage { args: &[], code: 2, message: "a command is missing" } },
    unknown_command = { Usage { args: &["tabel"], code: 2, message: "unknown command \"tabel\"" } },
    unknown_option = { Usage { args: &["--jsn"], code: 2, message: "--jsn" } },
    no_table_command = { Usage { args: &["table"], code: 2, message: "table command is missing" } },
    unknown_table_command = {
        Usage { args: &["table", "chek"], code: 2, message: "unknown table command" }
    },
    no_file = { Usage { args: &["table", "check"], code: 2, message: "file is missing" } },
    no_such_file = {
        Usage { args: &["table", "check", "none.json"], code: 2, message: "none.json: No such" }
    },
    other_ending = {
        Usage { args: &["table", "check", "README.md"], code: 2, message: ".json or .csv" }
    },
    one_file_too_many = {
        Usage { args: &["table", "check", "a.json", "b.json"], code: 2, message: "\"b.json\"" }
    },
    one_file_too_few = {
        Usage { args: &["table", "diff", "examples/lotus/table.json"], code: 2, message: "new" }
    },
    option_for_a_file = {
        Usage { args: &["table", "check", "--jsno"], code: 2, message: "unknown argument" }
    },
)]
fn invalid_arguments_are_reported(usage: Usage) {
    let output = run_kingcup(usage.args);
    assert_eq!(
        output.status.code(),
        Some(usage.code),
        "{}",
        stderr(&output)
    );
    let text = stderr(&output);
    assert!(text.contains(usage.message), "{text}");
    assert!(text.contains("\n  next: "), "{text}");
    assert_eq!(stdout(&output), "");
}

#[parameterized(
    truncated = { "truncated.json", "{\"tiers\": [" },
    no_object = { "list.json", "[]" },
    empty = { "empty.json", "" },
)]
fn a_malformed_file_is_rejected_with_its_path(name: &str, text: &str) {
    let output = check_table(&write_file(name, text));
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains(name), "{}", stderr(&output));
}

#[test]
fn help_fits_a_screen() {
    let output = run_kingcup(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(stdout(&output).lines().count() <= 24);
    assert!(stdout(&output).lines().all(|line| line.len() <= 80));
    assert!(stdout(&output).contains("Exit codes"));
}

/// An instances file with one upstream in zone `z` of region `north`.
const INSTANCES: &str = r#"{"instances": [{"instance": "u", "role": "upstream", "availability_zone": "z", "region": "north",
    "service": "drafting", "address": "127.0.0.1:8000", "state": "live"}]}"#;

/// Guards against misspelt regions and zones, which would match no instance: the organisation would
/// not be served there, or the zone would not be drained.
#[test]
fn unknown_regions_and_zones_are_reported_by_line() {
    let path = write_file(
        "places.csv",
        "kind,name,rank,weight,max_tier,allowed_regions\n\
         tier,urgent,0,8,,\n\
         organisation,a,,2,urgent,north nroth\n\
         emptied_zone,y,,,,\n\
         emptied_zone,z,,3,,\n",
    );
    let instances = write_file("places.json", INSTANCES);
    let names = [&path, &instances].map(|p| p.to_str().expect("UTF-8"));
    let output = run_kingcup(&["table", "check", names[0], "--instances", names[1]]);
    assert_eq!(output.status.code(), Some(2));
    let text = stdout(&output);
    for line in [
        "line 3, allowed_regions: no instance is in \"nroth\"; right would be: one of north",
        "line 4, name: no instance is in \"y\"; right would be: one of z",
        "line 5, weight: emptied_zone rows have no weight; right would be: an empty cell",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
    assert_eq!(text.lines().count(), 3, "{text}");
}

#[test]
fn show_prints_allowed_regions_and_drained_zones() {
    let path = write_file(
        "bound.csv",
        "kind,name,rank,weight,max_tier,allowed_regions\n\
         tier,urgent,0,8,,\n\
         organisation,a,,2,urgent,north south\n\
         emptied_zone,z,,,,\n",
    );
    let output = run_kingcup(&["table", "show", path.to_str().expect("UTF-8")]);
    let text = stdout(&output);
    assert!(
        text.contains("it is served in north and south alone"),
        "{text}"
    );
    assert!(
        text.contains("Nothing new goes to the replicas of z."),
        "{text}"
    );
}

/// The error for an invalid instances file contains its path.
#[test]
fn an_invalid_instances_file_is_reported_with_its_path() {
    let bad = write_file("no-instances.json", "{\"instances\": 3}");
    let bad = bad.to_str().expect("UTF-8");
    let output = run_kingcup(&[
        "table",
        "check",
        "examples/lotus/table.json",
        "--instances",
        bad,
    ]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains("no-instances.json"),
        "{}",
        stderr(&output)
    );
}
