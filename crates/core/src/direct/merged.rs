//! The result of merging facts that another instance told.

/// What a merge showed about the knowledge of both instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Merged {
    /// Whether the facts contained something that was not known.
    pub learned: bool,
    /// Whether the other instance lacks something that is known here.
    pub sender_lacks: bool,
}

impl Merged {
    /// Combines the results for two kinds of facts of one message.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        Self {
            learned: self.learned || other.learned,
            sender_lacks: self.sender_lacks || other.sender_lacks,
        }
    }
}
