//! The stand-in model's answers: a function of the prompt alone, so that a mixed-up answer shows.

use xxhash_rust::xxh3;

/// Words of the answers.
const WORDS: [&str; 16] = [
    "bark", "cork", "crate", "slip", "lot", "oak", "harvest", "bottle", "label", "season", "estate", "buyer",
    "deposit", "grove", "counter", "report",
];

/// Token `index` of the answer to `prompt`, with its trailing space.
pub fn token(prompt: &str, index: u32) -> String {
    let hash = xxh3::xxh3_64_with_seed(prompt.as_bytes(), u64::from(index));
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!("{word}{} ", hash % 997)
}

/// The whole answer to `prompt` in `count` tokens.
pub fn completion(prompt: &str, count: u32) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}
