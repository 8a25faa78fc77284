//! Errors of calls to the platform.

use thiserror::Error;

/// Error of a call to the platform.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The platform did not respond. Writes of the call may have taken effect.
    #[error("no response from the platform")]
    NoResponse(#[source] Box<ureq::Error>),
    /// The platform rejected the call without processing it.
    #[error("the platform rejected the call with HTTP status {status}")]
    Rejected {
        /// HTTP status code of the response.
        status: u16,
    },
    /// The response names another place, which is not followed, or its head broke off. Writes of the call may have taken
    /// effect.
    #[error("the platform responded with HTTP status {status}, which is not followed")]
    Redirected {
        /// HTTP status code of the response.
        status: u16,
    },
    /// The response failed to decode. Writes of the call may have taken effect.
    #[error("failed to decode the platform's response")]
    DecodeResponse(#[source] Box<ureq::Error>),
    /// The value of a row failed to decode, for example because an incompatible version wrote it.
    #[error("failed to decode the value of row {key}")]
    DecodeRow {
        /// Key of the row.
        key: String,
        /// Error of the JSON decoder.
        #[source]
        source: serde_json::Error,
    },
    /// A value failed to encode as JSON.
    #[error("failed to encode a value as JSON")]
    EncodeValue(#[source] serde_json::Error),
}

impl PlatformError {
    /// Returns whether the outcome of the call is unknown, so that its writes may have taken effect.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(
            self,
            Self::NoResponse(_) | Self::Redirected { .. } | Self::DecodeResponse(_)
        )
    }
}
