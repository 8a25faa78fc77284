//! Process exit codes.

/// The command succeeded.
pub(crate) const SUCCESS: u8 = 0;
/// The command failed while it ran.
pub(crate) const FAILURE: u8 = 1;
/// The command line or an input file is invalid.
pub(crate) const USAGE: u8 = 2;
