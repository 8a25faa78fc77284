//! The segments of a prompt that a request head names, in little space.

use std::sync::Arc;

/// Separates identifiers, which can't contain it.
const SEPARATOR: char = ',';

/// Identifiers of segments in the order of the prompt. As many as a head holds are kept, in no more space than there.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SegmentList {
    /// Identifiers that are not empty, each but the last followed by [`SEPARATOR`].
    text: Option<Arc<str>>,
}

impl SegmentList {
    /// Creates a list of the `identifiers` that are not empty. An identifier with a comma counts as several.
    pub fn new<'a, I>(identifiers: I) -> Self
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut text = String::new();
        for identifier in identifiers.into_iter().flat_map(|i| i.split(SEPARATOR)) {
            if !text.is_empty() && !identifier.is_empty() {
                text.push(SEPARATOR);
            }
            text.push_str(identifier);
        }
        Self {
            text: (!text.is_empty()).then(|| Arc::from(text)),
        }
    }

    /// Returns the identifiers in order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.text.iter().flat_map(|text| text.split(SEPARATOR))
    }

    /// Returns the identifiers as one text, separated by commas.
    pub fn as_str(&self) -> &str {
        self.text.as_deref().unwrap_or_default()
    }
}
