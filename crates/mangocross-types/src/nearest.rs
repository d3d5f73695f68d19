//! Suggestions for words that are not known.

/// Edits between a word and a known one that still make a suggestion.
const DISTANCE_MAX: usize = 3;

/// Returns the known word that is nearest, if one is near.
///
/// # Examples
///
/// ```
/// let known = ["zone", "store"];
/// assert_eq!(mangocross_types::nearest("zoen", known.into_iter()), Some("zone"));
/// assert_eq!(mangocross_types::nearest("address", known.into_iter()), None);
/// ```
pub fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let distances = known.map(|it| (strsim::damerau_levenshtein(word, it), it));
    let (distance, near) = distances.min_by_key(|(distance, _)| *distance)?;
    let limit = DISTANCE_MAX.min(word.chars().count().saturating_sub(1));
    (distance <= limit).then_some(near)
}

/// Returns `; did you mean ...`, or nothing.
pub fn hint<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    nearest(word, known).map(|it| format!("; did you mean `{it}`")).unwrap_or_default()
}
