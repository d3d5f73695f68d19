//! Spelling suggestions for unknown words.

/// Maximum edit distance between a word and a suggestion.
const DISTANCE_MAX: usize = 3;

/// Returns the known word with the smallest edit distance, if that is small enough.
///
/// # Examples
///
/// ```
/// let known = ["zone", "store"];
/// assert_eq!(mangocross_types::closest_word("zoen", known.into_iter()), Some("zone"));
/// assert_eq!(mangocross_types::closest_word("address", known.into_iter()), None);
/// ```
pub fn closest_word<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let distances = known.map(|it| (strsim::damerau_levenshtein(word, it), it));
    let (distance, closest) = distances.min_by_key(|(distance, _)| *distance)?;
    let limit = DISTANCE_MAX.min(word.chars().count().saturating_sub(1));
    (distance <= limit).then_some(closest)
}

/// Returns `; did you mean ...`, or an empty text without a suggestion.
pub fn did_you_mean<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    closest_word(word, known).map(|it| format!("; did you mean `{it}`")).unwrap_or_default()
}
