//! Faults in a settings file.

use std::fmt;
use std::path::{Path, PathBuf};

use miette::Diagnostic;
use thiserror::Error;

/// A fault and its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault {
    /// Path of the setting, such as `groups[0].ranks`.
    pub path: String,
    /// One-based line number, if known.
    pub line: Option<usize>,
    /// Description of the fault and of the valid values.
    pub message: String,
}

impl SettingFault {
    /// Creates a fault of the setting at `path`. The line is filled in later.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            line: None,
            message: message.into(),
        }
    }
}

/// Error of loading a settings file.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("failed to read {}", file.display())]
    #[diagnostic(help("give the path of a readable YAML file"))]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The file has faults.
    #[error("{}", FaultList { file, faults })]
    #[diagnostic(help("fix the lines above; `sycamorestile check FILE` checks without starting"))]
    Invalid {
        /// Path of the file.
        file: PathBuf,
        /// Faults, sorted by line.
        faults: Vec<SettingFault>,
    },
}

/// Displays the faults of a file, one per line.
#[derive(Debug)]
pub struct FaultList<'a> {
    /// Path of the file.
    pub file: &'a Path,
    /// Faults, sorted by line.
    pub faults: &'a [SettingFault],
}

impl fmt::Display for FaultList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for fault in self.faults {
            write!(f, "{separator}{}", self.file.display())?;
            if let Some(line) = fault.line {
                write!(f, ":{line}")?;
            }
            if !fault.path.is_empty() {
                write!(f, ": {}", fault.path)?;
            }
            write!(f, ": {}", fault.message)?;
            separator = "\n";
        }
        Ok(())
    }
}
