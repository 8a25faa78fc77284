//! Text that the stand-in model generates.
//!
//! The text is a function of the prompt alone, so that a test can tell when a completion belongs to another prompt or
//! has missing or repeated tokens.

use xxhash_rust::xxh3;

/// Vocabulary of the model.
const WORDS: [&str; 16] = [
    "bark", "cork", "crate", "slip", "lot", "oak", "harvest", "bottle", "label", "season", "estate", "buyer",
    "deposit", "grove", "counter", "report",
];

/// Returns the token at `index` of the completion of `prompt`, including its trailing space.
pub fn token(prompt: &str, index: u32) -> String {
    let hash = xxh3::xxh3_64_with_seed(prompt.as_bytes(), u64::from(index));
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!("{word}{} ", hash % 997)
}

/// Returns the first `count` tokens of the completion of `prompt`.
pub fn completion(prompt: &str, count: u32) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}
