//! Text form of a key: its fields and an HMAC, which prevents forgery and changes.

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

/// Maximum length of a key in characters; names are short, so no longer key is ever issued.
pub const MAX_KEY_CHARS: usize = 1024;

/// Minimum length of the shared secret in bytes, half the output of the hash.
const MIN_SECRET_BYTES: usize = 16;

/// Length of the HMAC in bytes.
const TAG_BYTES: usize = 32;

/// Bytes before the fields: the version of the format (1) and the length of the fields (2).
const HEADER_BYTES: usize = 3;

/// Version of the key format.
const FORMAT_VERSION: u8 = 1;

/// Domain separation: other HMACs made with the same secret are not valid for keys.
const MAC_CONTEXT: &[u8] = b"kingcupfield idempotency key 1\0";

/// The secret that all instances of a fleet share.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Creates a secret from the bytes of the secret file.
    ///
    /// # Errors
    /// The secret is shorter than 16 bytes and could be guessed.
    pub fn new(bytes: Vec<u8>) -> Result<Self, KeyError> {
        if bytes.len() < MIN_SECRET_BYTES {
            return Err(KeyError::ShortSecret);
        }
        Ok(Self(bytes))
    }

    fn mac(&self, signed: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("an HMAC takes a secret of any length");
        mac.update(MAC_CONTEXT);
        mac.update(signed);
        mac
    }
}

/// Why a key is refused; its call did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text is longer than any valid key.
    #[error("the key is longer than any that was issued")]
    TooLong,
    /// The text does not have the format of a key.
    #[error("the key is malformed")]
    Malformed,
    /// The end of the text is missing.
    #[error("the key is cut short")]
    Truncated,
    /// The HMAC does not match: the key was made or changed by someone without the secret.
    #[error("the key was not issued here")]
    Forged,
    /// The key belongs to another organisation.
    #[error("the key belongs to another organisation")]
    OtherOrganisation,
    /// The shared secret is shorter than 16 bytes.
    #[error("the secret is shorter than {MIN_SECRET_BYTES} bytes")]
    ShortSecret,
}

/// Identity of the witness that a key names.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WitnessId {
    /// The instance that runs the witness.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Its incarnation; a later incarnation has lost the records of this one.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
}

/// An idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The instance that issued the key and alone may dispatch it.
    #[serde(rename = "i")]
    pub issuer: InstanceId,
    /// The issuer's incarnation.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// The witness; `None` if the issuer knew no other live instance.
    #[serde(rename = "w")]
    pub witness: Option<WitnessId>,
    /// The organisation that may use it.
    #[serde(rename = "o")]
    pub organisation: OrganisationId,
    /// Position in the sequence of the incarnation.
    #[serde(rename = "s")]
    pub sequence: Sequence,
    /// Time of issue, in milliseconds since the issuer's start; read by the issuer alone.
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

    /// Time of issue, measured from the issuer's start.
    pub fn issued(&self) -> Duration {
        Duration::from_millis(self.issued_ms)
    }

    /// Encodes the key as the text that callers send.
    ///
    /// # Errors
    /// The names are so long that the text would exceed [`MAX_KEY_CHARS`].
    pub fn encode(&self, secret: &Secret) -> Result<String, KeyError> {
        let fields = serde_json::to_vec(self).map_err(|_| KeyError::Malformed)?;
        let length = u16::try_from(fields.len()).map_err(|_| KeyError::TooLong)?;
        let mut buf = Vec::with_capacity(HEADER_BYTES + fields.len() + TAG_BYTES);
        buf.push(FORMAT_VERSION);
        buf.extend(length.to_be_bytes());
        buf.extend(fields);
        let tag = secret.mac(&buf).finalize().into_bytes();
        buf.extend(tag);
        let text = URL_SAFE_NO_PAD.encode(buf);
        if text.len() > MAX_KEY_CHARS {
            return Err(KeyError::TooLong);
        }
        Ok(text)
    }

    /// Decodes the text that a caller sent and checks that the key belongs to `organisation`. The
    /// HMAC is compared in constant time.
    ///
    /// # Errors
    /// Why the key is refused.
    pub fn decode(text: &str, secret: &Secret, organisation: &str) -> Result<Self, KeyError> {
        if text.len() > MAX_KEY_CHARS {
            return Err(KeyError::TooLong);
        }
        let Ok(buf) = URL_SAFE_NO_PAD.decode(text) else {
            // A truncated text may end in the middle of a group of four characters.
            let groups = text.get(..text.len() / 4 * 4).unwrap_or_default();
            let begin = URL_SAFE_NO_PAD.decode(groups).unwrap_or_default();
            return Err(match split(&begin) {
                Err(KeyError::Truncated) => KeyError::Truncated,
                _ => KeyError::Malformed,
            });
        };
        let (signed, tag) = split(&buf)?;
        (secret.mac(signed).verify_slice(tag)).map_err(|_| KeyError::Forged)?;
        let key: Self =
            serde_json::from_slice(&signed[HEADER_BYTES..]).map_err(|_| KeyError::Malformed)?;
        if *key.organisation != *organisation {
            return Err(KeyError::OtherOrganisation);
        }
        Ok(key)
    }
}

/// Splits a decoded key into the signed bytes and the HMAC.
fn split(buf: &[u8]) -> Result<(&[u8], &[u8]), KeyError> {
    let [FORMAT_VERSION, high, low, rest @ ..] = buf else {
        return Err(KeyError::Malformed);
    };
    let length = usize::from(u16::from_be_bytes([*high, *low]));
    match rest.len().cmp(&(length + TAG_BYTES)) {
        std::cmp::Ordering::Less => Err(KeyError::Truncated),
        std::cmp::Ordering::Greater => Err(KeyError::Malformed),
        std::cmp::Ordering::Equal => Ok(buf.split_at(HEADER_BYTES + length)),
    }
}
