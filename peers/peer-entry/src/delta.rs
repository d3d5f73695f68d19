//! The difference between two texts of a document.
//!
//! Texts are split into pieces at the ends of JSON objects. Pieces that also occur in the older
//! text are copied from it; the result is verified by a hash of the whole newer text.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

/// Last character of a piece.
const PIECE_END: char = '}';

/// Steps that reproduce a newer text from an older one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    steps: Vec<DeltaStep>,
    hash: [u8; 32],
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum DeltaStep {
    /// Copies pieces of the older text.
    Copy { first: u32, count: u32 },
    /// Adds text that is not in the older one.
    Add(String),
}

impl Delta {
    /// Returns the steps that reproduce `newer` from `older`.
    pub fn between(older: &str, newer: &str) -> Self {
        let older: Vec<&str> = pieces(older).collect();
        let indexes: HashMap<&str, u32> = older.iter().copied().zip(0..).collect();
        let mut steps = Vec::new();
        for piece in pieces(newer) {
            match indexes.get(piece) {
                Some(index) => copy(&mut steps, &older, piece, *index),
                None => add(&mut steps, piece),
            }
        }
        Self { steps, hash: hash(newer) }
    }

    /// Returns the newer text, or `None` if `older` is not the text that the difference was
    /// made from or the result is longer than `bytes_max`.
    pub fn apply(&self, older: &str, bytes_max: usize) -> Option<String> {
        let older: Vec<&str> = pieces(older).collect();
        let mut newer = String::new();
        for step in &self.steps {
            match step {
                DeltaStep::Copy { first, count } => {
                    let end = first.checked_add(*count)?;
                    let copied = older.get(*first as usize..end as usize)?;
                    copied.iter().for_each(|it| newer.push_str(it));
                }
                DeltaStep::Add(text) => newer.push_str(text),
            }
            if newer.len() > bytes_max {
                return None;
            }
        }
        (hash(&newer) == self.hash).then_some(newer)
    }
}

fn pieces(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive(PIECE_END)
}

/// Extends the last copy if the piece follows it, and starts a new copy otherwise.
fn copy(steps: &mut Vec<DeltaStep>, older: &[&str], piece: &str, index: u32) {
    if let Some(DeltaStep::Copy { first, count }) = steps.last_mut()
        && older.get((*first + *count) as usize) == Some(&piece)
    {
        *count += 1;
        return;
    }
    steps.push(DeltaStep::Copy { first: index, count: 1 });
}

fn add(steps: &mut Vec<DeltaStep>, piece: &str) {
    match steps.last_mut() {
        Some(DeltaStep::Add(text)) => text.push_str(piece),
        _ => steps.push(DeltaStep::Add(piece.to_owned())),
    }
}

fn hash(text: &str) -> [u8; 32] {
    *blake3::hash(text.as_bytes()).as_bytes()
}
