//! Hashes by which requests are recognised that have the same work in common.

use xxhash_rust::xxh3::Xxh3;

/// Hash of what requests have in common, the same at all instances.
pub type Fingerprint = u64;

/// Tells the fingerprints of parts of prompts from those of requests.
const PROMPT_PART_SEED: u64 = 1;

/// Fingerprint of a whole request, the same for each of a caller's attempts.
///
/// `fields` are the parts of the request that determine its work, in a fixed order: method, path, body
/// and the like, without what differs between attempts.
pub fn of_request<'a, F>(service: &str, fields: F) -> Fingerprint
where
    F: IntoIterator<Item = &'a [u8]>,
{
    let mut hasher = Xxh3::new();
    update_field(&mut hasher, service.as_bytes());
    for field in fields {
        update_field(&mut hasher, field);
    }
    hasher.digest()
}

/// Fingerprint of a part of prompts, by the id that all requests give it which have it in common.
pub fn of_prompt_part(service: &str, part: &str) -> Fingerprint {
    let mut hasher = Xxh3::with_seed(PROMPT_PART_SEED);
    update_field(&mut hasher, service.as_bytes());
    update_field(&mut hasher, part.as_bytes());
    hasher.digest()
}

/// Hashes a field with its length, so that the end of one field can't be taken for the start of the next.
fn update_field(hasher: &mut Xxh3, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}
