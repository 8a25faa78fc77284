//! Failures of operators' commands.

use std::net::SocketAddr;

use miette::Diagnostic;
use thiserror::Error;

/// Why an operator's command failed.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum OperatorError {
    /// No connection to the entry.
    #[error("no entry answers at {addr}")]
    #[diagnostic(help("give the `operators` address of a running entry"))]
    Unreachable {
        /// The address.
        addr: SocketAddr,
        /// What the library says.
        #[source]
        source: tonic::transport::Error,
    },
    /// The entry refused the call.
    #[error("the entry refused the call ({:?}): {}", .0.code(), .0.message())]
    Refused(Box<tonic::Status>),
    /// A change was not applied.
    #[error("the change was not applied")]
    NotApplied,
    /// Whether a change was applied is not known.
    #[error("the change may have been applied")]
    #[diagnostic(help("ask again with `get-change` and the same identifier"))]
    UnknownResult,
    /// The output can't be written.
    #[error("the output can't be written")]
    Output(#[source] serde_yaml_ng::Error),
    /// Not a format.
    #[error("use table or json")]
    UnknownFormat,
    /// Not a key.
    #[error("use KIND/NAME, such as service/ledger")]
    InvalidKey,
    /// Not a kind.
    #[error("use service, group, organisation or endpoint")]
    UnknownKind,
}
