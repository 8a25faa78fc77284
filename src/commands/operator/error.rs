//! Errors of `sycamorestile operator`.

use std::net::SocketAddr;

use miette::Diagnostic;
use thiserror::Error;

/// An error of an operator command.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum OperatorError {
    /// The connection to the entry failed.
    #[error("failed to connect to an entry at {addr}")]
    #[diagnostic(help("use the `operators` address of a running entry"))]
    Unreachable {
        /// Address of the entry.
        addr: SocketAddr,
        /// The underlying error.
        #[source]
        source: tonic::transport::Error,
    },
    /// The call returned an error status.
    #[error("the call to the entry failed ({:?}): {}", .0.code(), .0.message())]
    CallFailed(Box<tonic::Status>),
    /// The change was not applied.
    #[error("the change was not applied")]
    NotApplied,
    /// It is not known whether the change was applied.
    #[error("the change may have been applied")]
    #[diagnostic(help("run `get-change` with the same identifier to see whether it was applied"))]
    UnknownResult,
    /// The output could not be encoded as YAML.
    #[error("failed to encode the output as YAML")]
    Output(#[source] serde_yaml_ng::Error),
    /// The value is not an output format.
    #[error("unknown output format; expected table or json")]
    UnknownFormat,
    /// The value is not an object key.
    #[error("invalid object key; expected KIND/NAME, such as service/ledger")]
    InvalidKey,
    /// The value is not a kind of object.
    #[error("unknown kind of object; expected service, group, organisation or endpoint")]
    UnknownKind,
}
