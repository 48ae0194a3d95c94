//! The text of a key: its fields and an HMAC, so that nobody can make or change one.

use std::fmt;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

use crate::id::{Incarnation, InstanceId, OrganisationId, Sequence};

use super::KeyId;

/// Longest text of a key; names are short, so nothing longer was issued here.
pub const MAX_TEXT: usize = 1024;

/// Shortest secret, half the output of the hash.
const MIN_SECRET: usize = 16;

/// Bytes of the HMAC.
const TAG: usize = 32;

/// Bytes before the fields: the format's number and the length of the fields.
const HEADER: usize = 3;

/// Number of the format.
const FORMAT: u8 = 1;

/// Keeps these tags apart from whatever else is signed with the same secret.
const PURPOSE: &[u8] = b"kingcupfield idempotency key 1\0";

/// The secret that all instances of a fleet share.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Takes the bytes of the secret file.
    ///
    /// # Errors
    /// A secret under 16 bytes can be guessed.
    pub fn new(bytes: Vec<u8>) -> Result<Self, KeyError> {
        if bytes.len() < MIN_SECRET {
            return Err(KeyError::ShortSecret);
        }
        Ok(Self(bytes))
    }

    fn mac(&self, signed: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("an HMAC takes a secret of any length");
        mac.update(PURPOSE);
        mac.update(signed);
        mac
    }
}

/// Why a key is refused; the call did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// It is longer than any key.
    #[error("the key is longer than any that was issued")]
    TooLong,
    /// It is no key at all.
    #[error("the key is malformed")]
    Malformed,
    /// Its end is missing.
    #[error("the key is cut short")]
    Cut,
    /// Its tag does not fit: it was made or changed elsewhere.
    #[error("the key was not issued here")]
    Forged,
    /// It belongs to another organisation.
    #[error("the key belongs to another organisation")]
    OtherOrganisation,
    /// The shared secret is under 16 bytes.
    #[error("the secret is shorter than {MIN_SECRET} bytes")]
    ShortSecret,
}

/// The witness that a key names.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WitnessId {
    /// The instance.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Its incarnation; a later one has lost what this one knew.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
}

/// An idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The instance that alone may dispatch it.
    #[serde(rename = "i")]
    pub issuer: InstanceId,
    /// The issuer's incarnation.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// The witness; none if the issuer knew no other instance.
    #[serde(rename = "w")]
    pub witness: Option<WitnessId>,
    /// The organisation that may use it.
    #[serde(rename = "o")]
    pub organisation: OrganisationId,
    /// Position in the issuer's sequence.
    #[serde(rename = "s")]
    pub sequence: Sequence,
    /// When it was issued, in milliseconds since the issuer's start; only the issuer reads it.
    #[serde(rename = "t")]
    pub issued_ms: u64,
}

impl Key {
    /// Identity of the key.
    pub fn id(&self) -> KeyId {
        KeyId {
            issuer: InstanceId::clone(&self.issuer),
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }

    /// When it was issued, since the issuer's start.
    pub fn issued(&self) -> Duration {
        Duration::from_millis(self.issued_ms)
    }

    /// Writes the text that callers send.
    ///
    /// # Errors
    /// Names so long that the text would pass [`MAX_TEXT`].
    pub fn encode(&self, secret: &Secret) -> Result<String, KeyError> {
        let fields = serde_json::to_vec(self).map_err(|_| KeyError::Malformed)?;
        let length = u16::try_from(fields.len()).map_err(|_| KeyError::TooLong)?;
        let mut buf = Vec::with_capacity(HEADER + fields.len() + TAG);
        buf.push(FORMAT);
        buf.extend(length.to_be_bytes());
        buf.extend(fields);
        let tag = secret.mac(&buf).finalize().into_bytes();
        buf.extend(tag);
        let text = URL_SAFE_NO_PAD.encode(buf);
        if text.len() > MAX_TEXT {
            return Err(KeyError::TooLong);
        }
        Ok(text)
    }

    /// Reads a caller's text and checks that it belongs to its organisation. The tag is compared
    /// in constant time.
    ///
    /// # Errors
    /// The reason of the refusal.
    pub fn decode(text: &str, secret: &Secret, organisation: &str) -> Result<Self, KeyError> {
        if text.len() > MAX_TEXT {
            return Err(KeyError::TooLong);
        }
        let Ok(buf) = URL_SAFE_NO_PAD.decode(text) else {
            // A text that was cut may end in the middle of a group of four characters.
            let groups = text.get(..text.len() / 4 * 4).unwrap_or_default();
            let begin = URL_SAFE_NO_PAD.decode(groups).unwrap_or_default();
            return Err(match split(&begin) {
                Err(KeyError::Cut) => KeyError::Cut,
                _ => KeyError::Malformed,
            });
        };
        let (signed, tag) = split(&buf)?;
        (secret.mac(signed).verify_slice(tag)).map_err(|_| KeyError::Forged)?;
        let key: Self =
            serde_json::from_slice(&signed[HEADER..]).map_err(|_| KeyError::Malformed)?;
        if *key.organisation != *organisation {
            return Err(KeyError::OtherOrganisation);
        }
        Ok(key)
    }
}

/// Splits the bytes of a key into what is signed and the tag.
fn split(buf: &[u8]) -> Result<(&[u8], &[u8]), KeyError> {
    let [FORMAT, high, low, rest @ ..] = buf else {
        return Err(KeyError::Malformed);
    };
    let length = usize::from(u16::from_be_bytes([*high, *low]));
    match rest.len().cmp(&(length + TAG)) {
        std::cmp::Ordering::Less => Err(KeyError::Cut),
        std::cmp::Ordering::Greater => Err(KeyError::Malformed),
        std::cmp::Ordering::Equal => Ok(buf.split_at(HEADER + length)),
    }
}
