//! The `sycamorestile check` command.

use std::path::PathBuf;

use bpaf::Bpaf;
use serde::Deserialize;
use sycamorestile_core::config::declaration;
use sycamorestile_node::settings::agent_settings;
use sycamorestile_node::settings::declarations_file;
use sycamorestile_node::settings::entry_settings;
use sycamorestile_node::settings::fault;
use sycamorestile_node::settings::load;
use sycamorestile_node::settings::standalone_settings;

use crate::commands;

/// Options of `sycamorestile check`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Settings or declarations file in YAML
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// The `role` field, which settings files have and declarations files lack.
#[derive(Debug, Default, Deserialize)]
struct RoleField {
    role: Option<String>,
}

pub(crate) fn run(options: &Options) -> Result<(), commands::CommandError> {
    let file = &options.file;
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let role_field: RoleField = serde_yaml_ng::from_str(&text).unwrap_or_default();
    let checked = match role_field.role.as_deref() {
        Some("agent") => load::load(file, agent_settings::AgentSettings::validate).map(drop),
        Some("standalone") => load::load(file, standalone_settings::StandaloneSettings::validate).map(drop),
        Some(_) => load::load(file, entry_settings::EntrySettings::validate).map(drop),
        None => load::load::<declaration::Declarations, _>(file, declarations_file::validate).map(drop),
    };
    if let Err(fault::SettingsError::Invalid { file, faults }) = &checked {
        println!("{}", fault::FaultList { file, faults });
    }
    checked.map_err(commands::CommandError::usage)
}
