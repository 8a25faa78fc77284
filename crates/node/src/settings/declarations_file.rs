//! Declaration files.

use sycamorestile_core::config::change;
use sycamorestile_core::config::declaration;
use sycamorestile_core::config::state;
use sycamorestile_core::config::transaction;

use crate::settings::fault;

/// Validates a file of declarations that is to be applied as one change, and returns all faults.
pub fn validate(file: &declaration::Declarations) -> Vec<fault::SettingFault> {
    let edits: Vec<change::Edit> = file.clone().into_objects().into_iter().map(change::Edit::Put).collect();
    let found = transaction::validate_edits(&state::ConfigState::default(), &edits);
    found
        .into_iter()
        .map(|fault| fault::SettingFault::new(fault_path(file, &fault.key), fault.kind.to_string()))
        .collect()
}

fn fault_path(file: &declaration::Declarations, key: &declaration::ObjectKey) -> String {
    let position = match key.kind {
        declaration::Kind::Service => file.services.iter().position(|object| object.name == key.name),
        declaration::Kind::Group => file.groups.iter().position(|object| object.name == key.name),
        declaration::Kind::Organisation => file.organisations.iter().position(|object| object.name == key.name),
        declaration::Kind::Endpoint => file.endpoints.iter().position(|object| object.name == key.name),
    };
    format!("{}s[{}]", key.kind, position.unwrap_or_default())
}
