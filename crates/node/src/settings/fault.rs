//! Faults of a settings file.

use std::fmt;
use std::path::{Path, PathBuf};

use miette::Diagnostic;
use thiserror::Error;

/// One fault with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault {
    /// Path of the setting, such as `groups[0].ranks`.
    pub path: String,
    /// Line, counted from 1, if known.
    pub line: Option<usize>,
    /// What is wrong and what would be right.
    pub message: String,
}

impl SettingFault {
    /// A fault of the setting at `path`; the line is looked up later.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            line: None,
            message: message.into(),
        }
    }
}

/// Why a settings file can't be used.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{} can't be read", file.display())]
    #[diagnostic(help("give the path of a readable YAML file"))]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system says.
        #[source]
        source: std::io::Error,
    },
    /// The file has faults.
    #[error("{}", FaultList { file, faults })]
    #[diagnostic(help("mend the lines above; `sycamorestile check FILE` checks without starting"))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Its faults in order of lines.
        faults: Vec<SettingFault>,
    },
}

/// The lines of a faulty file's report.
#[derive(Debug)]
pub struct FaultList<'a> {
    /// The file.
    pub file: &'a Path,
    /// Its faults in order of lines.
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
