//! Settings and declarations from YAML files, validated before a daemon starts.
//!
//! All faults of a file are reported together, each with its line and the valid values, so that an operator can fix the
//! file in one pass.

pub mod agent_settings;
pub mod declarations_file;
pub mod entry_settings;
pub mod fault;
pub mod load;
pub mod standalone_settings;
