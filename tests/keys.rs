//! The end of an instance's keys. A caller whose booking reaches an instance that is about to end
//! must have it run elsewhere or read that it did not run; one that ran here and was cut with the
//! process would be told as unknown. So nothing begins once the instance has closed, and what
//! began before still ends.

use std::time::Duration;

use kingcupfield::keys::{Keys, Left, Met};
use kingcupfield::members::View;
use kingcupfield_decisions::idempotency::{
    CallAttempt, IssuerReply, Key, KeyOutcome, NotRun, Permission, Secret, StoredResponse,
};
use tokio::time::{Instant, timeout};
use yare::parameterized;

const SECRET: &[u8] = b"a secret of tests, long enough to sign keys";
const ORGANISATION: &str = "terminal-a";

fn keys() -> Keys {
    let secret = Secret::new(SECRET.to_vec()).expect("long enough");
    Keys::new("a".into(), 1, secret, Instant::now())
}

fn issue(keys: &Keys) -> Key {
    let text = keys.issue(&ORGANISATION.into(), "z", &View::default());
    let text = text.expect("a key");
    keys.decode(&text, ORGANISATION).expect("its own key")
}

fn call(request: &str) -> CallAttempt {
    CallAttempt {
        id: request.into(),
        hash: 7,
        deadline: Instant::now() + Duration::from_secs(20),
    }
}

/// Uses a key for the first time and passes it on to the service.
fn begin(keys: &Keys, key: &Key) {
    assert!(matches!(keys.on_use(key, call("first")), Met::First(..)));
    assert_eq!(keys.ask(&key.id(), &"u".into()), Permission::Granted);
    keys.dispatch(&key.id()).expect("a right to dispatch");
}

fn finish(keys: &Keys, key: &Key) {
    let answer = StoredResponse {
        status: 200,
        content_type: None,
        body: b"booked".to_vec(),
    };
    let outcome = keys.finish(&key.id(), Some(answer));
    assert!(
        matches!(outcome, Some(KeyOutcome::Ran { .. })),
        "{outcome:?}"
    );
}

fn held(met: Met) -> Left {
    match met {
        Met::Held(left) => left,
        met => panic!("not held: {met:?}"),
    }
}

#[parameterized(
    with_a_successor = { Some("b") },
    alone = { None },
)]
#[test_macro(tokio::test)]
async fn no_call_begins_after_the_door_is_closed(successor: Option<&str>) {
    let keys = keys();
    let (running, unused, refused) = (issue(&keys), issue(&keys), issue(&keys));
    begin(&keys, &running);
    assert!(matches!(keys.on_use(&refused, call("r")), Met::First(..)));
    assert_eq!(keys.refuse(&refused.id()), Some(IssuerReply::Refused));
    keys.close();

    let of_unused = held(keys.on_use(&unused, call("u")));
    let of_refused = held(keys.on_use(&refused, call("r2")));
    assert_eq!(keys.under_way(), 1, "what is held does not count");
    assert!(matches!(
        keys.on_use(&running, call("again")),
        Met::Join(..)
    ));
    finish(&keys, &running);
    assert_eq!(keys.under_way(), 0);
    let met = keys.on_use(&running, call("later"));
    assert!(matches!(
        met,
        Met::Answer(IssuerReply::Outcome(KeyOutcome::Ran { .. }))
    ));

    if let Some(successor) = successor {
        drop(keys.leave(&successor.into()));
        // The successor does not have the keys yet.
        held(keys.on_use(&unused, call("early")));
    }
    keys.shut();
    for left in [of_unused, of_refused] {
        let told = timeout(Duration::from_secs(1), left.left()).await;
        told.expect("what is held is told of the end");
    }
    let expected = match successor {
        Some(successor) => IssuerReply::Moved {
            successor: successor.into(),
        },
        None => IssuerReply::Outcome(KeyOutcome::NotRun(NotRun::Leaving)),
    };
    for key in [&unused, &refused] {
        match keys.on_use(key, call("after")) {
            Met::Answer(answer) => assert_eq!(answer, expected),
            met => panic!("not answered: {met:?}"),
        }
        assert!(keys.dispatch(&key.id()).is_err());
    }
    assert_eq!(keys.under_way(), 0);
}
