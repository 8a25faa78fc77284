//! Why declarations were not accepted.

use miette::Diagnostic;
use sycamorestile_core::config::fault;
use sycamorestile_core::config::transaction;
use sycamorestile_platform::error;
use thiserror::Error;

use crate::entry::config_store;

/// Why a change is not known to be accepted.
#[derive(Debug, Error, Diagnostic)]
pub enum DeclareError {
    /// The objects have faults.
    #[error("the objects have faults: {}", list(.0))]
    #[diagnostic(help("mend the objects and declare them again"))]
    Faults(Vec<fault::Fault>),
    /// Other operators changed the objects first.
    #[error("the objects have changed: {}", list(.0))]
    #[diagnostic(help("read the objects again and repeat the change on what is there"))]
    Conflicts(Vec<transaction::Conflict>),
    /// The platform did not take the change.
    #[error("the change was not applied")]
    #[diagnostic(help("try again when the platform is in reach"))]
    NotApplied(#[source] error::PlatformError),
    /// Whether the platform took the change is not known.
    #[error("the change may have been applied")]
    #[diagnostic(help("ask for the change by its identifier"))]
    Unknown(#[source] error::PlatformError),
    /// Other operators won every race for the head revision.
    #[error("other operators won every race")]
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
