//! Shell completion of the language's words.

use mangocross_operator::USAGE;

/// Returns the words of the language that start with `word`.
pub(crate) fn complete_word(word: &str) -> Vec<(String, Option<String>)> {
    let is_word = |it: &&str| it.starts_with(|c: char| c.is_ascii_lowercase());
    let lines = USAGE.iter().chain(&["check traffic"]);
    let words = lines.flat_map(|line| line.split([' ', '|', '[', ']', ',']));
    let mut matching: Vec<&str> = words.filter(is_word).filter(|it| it.starts_with(word)).collect();
    matching.sort_unstable();
    matching.dedup();
    matching.into_iter().map(|it| (it.to_owned(), None)).collect()
}
