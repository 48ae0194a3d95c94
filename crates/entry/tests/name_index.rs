//! Names by the hash that identifies them in messages.

use std::sync::Arc;

use kingcupfield_decisions::id::name_hash;
use kingcupfield_entry::name_index::NameIndex;

/// Releases replace all replicas again and again under new names. The names of those that are gone
/// must not stay, or the list would grow with each release.
#[test]
fn a_removed_name_is_not_found() {
    let [kept, gone, new]: [Arc<str>; 3] = ["kept", "gone", "new"].map(Arc::from);
    let mut names = NameIndex::new([&gone, &kept, &kept]);
    names.insert(&new);
    names.remove(&gone);
    names.remove(&gone);
    let found = |name: &Arc<str>| names.get(name_hash(name)) == Some(name);
    assert!(found(&kept) && found(&new) && !found(&gone));
    names.remove(&kept);
    assert_eq!(names.get(name_hash(&kept)), None);
}
