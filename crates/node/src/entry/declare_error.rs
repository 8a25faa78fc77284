//! Errors of declaring objects.

use miette::Diagnostic;
use sycamorestile_core::config::fault;
use sycamorestile_core::config::transaction;
use sycamorestile_platform::error;
use thiserror::Error;

use crate::entry::config_store;

/// Error of declaring objects.
#[derive(Debug, Error, Diagnostic)]
pub enum DeclareError {
    /// The objects are invalid.
    #[error("the objects are invalid: {}", list(.0))]
    #[diagnostic(help("fix the objects and declare them again"))]
    Faults(Vec<fault::Fault>),
    /// Another operator changed the objects first.
    #[error("the objects have changed: {}", list(.0))]
    #[diagnostic(help("read the objects again and repeat the change on their current state"))]
    Conflicts(Vec<transaction::Conflict>),
    /// The platform did not apply the change.
    #[error("the change was not applied")]
    #[diagnostic(help("try again when the platform is reachable"))]
    NotApplied(#[source] error::PlatformError),
    /// The platform may or may not have applied the change.
    #[error("the change may have been applied")]
    #[diagnostic(help("look up the change by its identifier"))]
    Unknown(#[source] error::PlatformError),
    /// Concurrent changes of other operators were committed first every time.
    #[error("concurrent changes of other operators were committed first")]
    #[diagnostic(help("try again"))]
    Contended,
}

fn list<T>(items: &[T]) -> String
where
    T: ToString,
{
    let lines: Vec<String> = items.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

impl From<config_store::SubmitError> for DeclareError {
    fn from(error: config_store::SubmitError) -> Self {
        match error {
            config_store::SubmitError::Rejected(transaction::Rejection::Faults(faults)) => Self::Faults(faults),
            config_store::SubmitError::Rejected(transaction::Rejection::Conflicts(conflicts)) => {
                Self::Conflicts(conflicts)
            }
            config_store::SubmitError::NotApplied(error) => Self::NotApplied(error),
            config_store::SubmitError::Unknown(error) => Self::Unknown(error),
            config_store::SubmitError::Contended => Self::Contended,
        }
    }
}
