//! Helpers shared by several modules.

/// Returns the first eight bytes of a text's hash.
pub(crate) fn short_hash(text: &str) -> u64 {
    let hash = blake3::hash(text.as_bytes());
    let (first, _) = hash.as_bytes().split_at(size_of::<u64>());
    u64::from_be_bytes(first.try_into().expect("eight bytes"))
}
