//! What an instance takes from other instances: nothing from strangers, nothing malformed.

use std::time::Duration;

use jsonrpsee::core::client::{ClientT, Error};
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use kingcupfield::calls::{KEY, KeyQuestion, KeyReply, KeyRequest};
use kingcupfield::instance::Instance;
use kingcupfield::issue::hand_over;
use kingcupfield::message::{DELIVER, Envelope, PROTOCOL, PeerMessage};
use kingcupfield::peers::{PeerToken, connect};
use kingcupfield_decisions::idempotency::DispatchRights;
use kingcupfield_decisions::membership::{Claim, Health, MembershipMessage};
use kingcupfield_decisions::slots::ToOwner;
use serde_json::{Value, json};
use yare::parameterized;

use instance::SECRET;

#[path = "support/instance.rs"]
mod instance;

/// An instance in this process, before a platform that is down.
async fn start(test: &str) -> Instance {
    instance::start(&format!("peers-{test}"), json!({})).await
}

async fn peer(instance: &Instance) -> WsClient {
    let token = PeerToken::new(SECRET.as_bytes());
    let address = instance.rpc_listen().to_string();
    connect(&token, &address, Duration::from_secs(5))
        .await
        .expect("a connection")
}

async fn answers(instance: &Instance) -> bool {
    let messages = [heartbeat()];
    let envelope = Envelope::new("b".into(), 1, &messages);
    let sent: Result<(), Error> = peer(instance)
        .await
        .request(DELIVER, rpc_params![envelope])
        .await;
    sent.is_ok()
}

fn heartbeat() -> PeerMessage {
    let own = Claim {
        instance: "b".into(),
        zone: "z".into(),
        incarnation: 1,
        revision: 0,
        health: Health::Live,
        leaving: false,
    };
    PeerMessage::Membership(MembershipMessage::Alive(own))
}

/// Somebody in the network finds the address that is meant for other instances. Without the secret
/// no message of theirs may be read, or anybody could free slots or close keys.
#[tokio::test]
async fn a_stranger_gets_nothing() {
    let instance = start("stranger").await;
    let address = instance.rpc_listen();
    let without = WsClientBuilder::default()
        .build(format!("ws://{address}"))
        .await;
    assert!(without.is_err(), "no token");
    let wrong = PeerToken::new(b"another secret, of the same length as");
    let wrong = connect(&wrong, &address.to_string(), Duration::from_secs(5)).await;
    assert!(wrong.is_err(), "a wrong token");
    assert!(answers(&instance).await, "a peer is still served");
}

struct Refused {
    name: &'static str,
    method: &'static str,
    params: Value,
}

/// A newer, older or broken instance sends what this one cannot read. It is refused with a reason,
/// and the instance stays up; a panic would end it and every request that waits on it.
#[tokio::test]
async fn what_cannot_be_read_is_refused_and_the_instance_stays_up() {
    let instance = start("malformed").await;
    let good = Envelope::new("b".into(), 1, &[heartbeat()]);
    let with = |field: &str, value: Value| {
        let mut envelope = serde_json::to_value(&good).expect("JSON");
        envelope[field] = value;
        envelope
    };
    let cases = [
        Refused {
            name: "an unknown method",
            method: "kingcup_other",
            params: json!({}),
        },
        Refused {
            name: "another protocol",
            method: DELIVER,
            params: with("protocol", json!(2)),
        },
        Refused {
            name: "an unknown field",
            method: DELIVER,
            params: with("more", json!(1)),
        },
        Refused {
            name: "no base64",
            method: DELIVER,
            params: with("packed", json!("%%%")),
        },
        Refused {
            name: "no messages",
            method: DELIVER,
            params: with("packed", json!("kwECAw")),
        },
        Refused {
            name: "cut messages",
            method: DELIVER,
            params: with("packed", json!("kQ")),
        },
        Refused {
            name: "a number",
            method: DELIVER,
            params: json!(7),
        },
        Refused {
            name: "a key call of numbers",
            method: "kingcup_key",
            params: json!({"protocol": 1, "question": 3}),
        },
        Refused {
            name: "an announcement without versions",
            method: "kingcup_values",
            params: json!({"protocol": 1}),
        },
    ];
    let client = peer(&instance).await;
    for case in cases {
        let sent: Result<Value, Error> =
            client.request(case.method, rpc_params![case.params]).await;
        assert!(
            matches!(sent, Err(Error::Call(_))),
            "{}: {sent:?}",
            case.name
        );
    }
    assert!(answers(&instance).await, "a good message is still taken");
}

#[test]
fn messages_survive_their_packing() {
    let withdraw = ToOwner::Withdraw {
        request: "a.1.7".into(),
    };
    let messages = vec![
        heartbeat(),
        PeerMessage::ToOwner {
            upstream: "drafting-1".into(),
            message: withdraw,
        },
        PeerMessage::Digests(Vec::new()),
    ];
    let envelope = Envelope::new("a".into(), 1, &messages);
    let text = serde_json::to_string(&envelope).expect("JSON");
    let back: Envelope = serde_json::from_str(&text).expect("an envelope");
    assert_eq!(back.messages().expect("messages"), messages);
}

/// Two instances leave at once, and one does not know yet that the other has given its keys up: it
/// leaves its own there. They were lost with that process while the log said that they were handed
/// over, and callers who asked again for the answer to a booking were told that nobody knows.
#[parameterized(
    unused_keys = { "unused", KeyQuestion::Inherit(estate()) },
    ended_keys = { "ended", KeyQuestion::Adopt(Vec::new()) },
    a_new_key = { "new", KeyQuestion::Issue("terminal-a".into()) },
)]
#[test_macro(tokio::test)]
async fn an_instance_that_gave_up_its_keys_takes_none(name: &str, question: KeyQuestion) {
    let instance = start(name).await;
    let request = KeyRequest {
        protocol: PROTOCOL,
        question,
    };
    let peer = peer(&instance).await;
    let before: Result<KeyReply, Error> = peer.request(KEY, rpc_params![&request]).await;
    assert!(before.is_ok(), "{before:?}");
    hand_over(instance.shared()).await;
    let after: Result<KeyReply, Error> = peer.request(KEY, rpc_params![&request]).await;
    assert!(after.is_err(), "{after:?}");
}

fn estate() -> DispatchRights {
    DispatchRights {
        issuer: "b".into(),
        incarnation: 1,
        age: Duration::from_secs(3),
        used: Vec::new(),
    }
}
