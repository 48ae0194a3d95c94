//! Encoding of keys, and rejection of forged, truncated and foreign ones.

use kingcupfield_decisions::idempotency::{
    EndedKeyRecord, IssuerReply, Key, KeyError, Secret, WitnessId, WitnessReply, WitnessRequest,
};
use yare::parameterized;

fn secret(byte: u8) -> Secret {
    Secret::new(vec![byte; 32]).expect("long enough")
}

fn key(organisation: &str) -> Key {
    Key {
        issuer: "north-sea-1".into(),
        incarnation: 1_760_000_000_000,
        witness: Some(WitnessId {
            instance: "north-sea-2".into(),
            incarnation: 1_760_000_000_001,
        }),
        organisation: organisation.into(),
        sequence: 42,
        issued_ms: 123_456,
    }
}

#[parameterized(plain = { "org" }, other_script = { "Cửa hàng Hoa Sen" }, quotes = { "a\"b\\" })]
fn a_key_survives_encoding_and_decoding(organisation: &str) {
    let text = key(organisation).encode(&secret(1)).expect("short names");
    assert!(
        text.bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
    );
    assert_eq!(
        Key::decode(&text, &secret(1), organisation),
        Ok(key(organisation))
    );
}

#[test]
fn every_truncated_or_changed_text_is_refused() {
    let text = key("org").encode(&secret(1)).expect("short names");
    for end in 0..text.len() {
        let refused = Key::decode(&text[..end], &secret(1), "org");
        assert!(
            matches!(refused, Err(KeyError::Truncated | KeyError::Malformed)),
            "{end}: {refused:?}"
        );
    }
    for i in 0..text.len() {
        let other = if text.as_bytes()[i] == b'A' { "B" } else { "A" };
        let mut changed = text.clone();
        changed.replace_range(i..=i, other);
        assert!(
            Key::decode(&changed, &secret(1), "org").is_err(),
            "character {i}"
        );
    }
}

#[parameterized(
    empty = { "", KeyError::Malformed },
    word = { "hello", KeyError::Malformed },
    not_base64 = { "!!!!", KeyError::Malformed },
    padded = { "AAAA====", KeyError::Malformed },
    other_script = { "khóa", KeyError::Malformed },
    format = { "AgAAAA", KeyError::Malformed },
    huge_length = { "Af__AA", KeyError::Truncated },
    long = { &"A".repeat(5000), KeyError::TooLong },
)]
fn malformed_texts_are_refused_with_a_reason(text: &str, expected: KeyError) {
    assert_eq!(Key::decode(text, &secret(1), "org"), Err(expected));
}

#[test]
fn foreign_keys_are_refused_with_a_reason() {
    let text = key("org").encode(&secret(1)).expect("short names");
    assert_eq!(Key::decode(&text, &secret(2), "org"), Err(KeyError::Forged));
    assert_eq!(
        Key::decode(&text, &secret(1), "Org"),
        Err(KeyError::OtherOrganisation)
    );
    let longer = text.clone() + "AAAA";
    assert_eq!(
        Key::decode(&longer, &secret(1), "org"),
        Err(KeyError::Malformed)
    );
    assert_eq!(
        key(&"x".repeat(2000)).encode(&secret(1)),
        Err(KeyError::TooLong)
    );
    assert_eq!(Secret::new(vec![1; 15]).err(), Some(KeyError::ShortSecret));
    assert_eq!(format!("{:?}", secret(1)), "Secret(..)");
}

#[parameterized(
    empty = { "" },
    unknown = { r#"{"shout":{}}"# },
    no_key = { r#"{"close":{"witness":1}}"# },
    short_key = { r#"{"close":{"witness":1,"key":{"issuer":"a"}}}"# },
    negative = { r#"{"close":{"witness":-1,"key":{"issuer":"a","incarnation":1,"sequence":1}}}"# },
    fraction = { r#"{"close":{"witness":1,"key":{"issuer":"a","incarnation":1,"sequence":1.5}}}"# },
    extra = { r#"{"close":{"witness":1,"key":{"issuer":"a","incarnation":1,"sequence":1},"x":0}}"# },
    no_upstream = { r#"{"permit":{"witness":1,"key":{"issuer":"a","incarnation":1,"sequence":1}}}"# },
    body = { r#"{"outcome":{"ran":{"upstream":"r","answer":{"status":200,"content_type":null,"body":"%%"}}}}"# },
    status = { r#"{"outcome":{"ran":{"upstream":"r","answer":{"status":70000,"content_type":null,"body":""}}}}"# },
)]
fn malformed_messages_are_refused_by_every_decoder(text: &str) {
    assert!(serde_json::from_str::<WitnessRequest>(text).is_err());
    assert!(serde_json::from_str::<WitnessReply>(text).is_err());
    assert!(serde_json::from_str::<IssuerReply>(text).is_err());
    assert!(serde_json::from_str::<EndedKeyRecord>(text).is_err());
}
