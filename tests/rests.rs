//! Rests that upstreams ask for by 503 with `Retry-After`.

use std::time::Duration;

use http::Response;
use kingcupfield::rests::Rests;
use yare::parameterized;

struct RestCase {
    status: u16,
    /// Values of `Retry-After`; more than one if it is repeated.
    values: &'static [&'static str],
    expected: Option<Duration>,
}

/// An upstream refuses with a value that makes no sense. If it were taken for a rest, the upstream would
/// get nothing for as long as the instance runs.
#[parameterized(
    whole = { RestCase { status: 503, values: &["3"], expected: Some(Duration::from_secs(3)) } },
    fraction = { RestCase { status: 503, values: &["0.4"], expected: Some(Duration::from_millis(400)) } },
    none = { RestCase { status: 503, values: &[], expected: None } },
    other_status = { RestCase { status: 429, values: &["3"], expected: None } },
    negative = { RestCase { status: 503, values: &["-3"], expected: None } },
    not_a_number = { RestCase { status: 503, values: &["NaN"], expected: None } },
    date = { RestCase { status: 503, values: &["Thu, 03 Dec 2026 17:00:00 GMT"], expected: None } },
    too_long = { RestCase { status: 503, values: &["31536000"], expected: None } },
    repeated = { RestCase { status: 503, values: &["3", "5"], expected: None } },
)]
fn only_a_sensible_rest_counts(case: RestCase) {
    let mut response = Response::builder().status(case.status);
    for value in case.values {
        response = response.header("retry-after", *value);
    }
    let response = response.body(()).expect("a valid response");
    let rests = Rests::default();
    let upstream = "engine-1".into();
    assert_eq!(rests.on_response(&upstream, &response), case.expected);
    assert_eq!(rests.holds(&upstream), case.expected.is_some());
    assert_eq!(rests.resting().len(), usize::from(case.expected.is_some()));
}
