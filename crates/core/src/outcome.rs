//! Outcome of a call as reported to its caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about the execution of a finished call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The endpoint ran the call, and the complete response was forwarded.
    Done,
    /// The call never began at any endpoint, so the caller can repeat it safely.
    NotRun,
    /// The call may have run. The system doesn't retry it.
    Unknown,
}

impl Outcome {
    /// Returns the value for the `Sycamorestile-Outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
