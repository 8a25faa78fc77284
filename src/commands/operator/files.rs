//! Export, diff and apply of whole declarations files.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use sycamorestile_core::config::declaration;
use sycamorestile_node::settings::load;
use sycamorestile_operator_api::convert;
use sycamorestile_operator_api::v1;
use sycamorestile_operator_api::v1::operator_client;
use tonic::transport::Channel;

use crate::commands;
use crate::commands::daemon;
use crate::commands::operator::error;
use crate::commands::operator::{self, print};

/// The changes that make the declarations in force equal to a file.
#[derive(Debug, Default, Serialize)]
struct Difference {
    add: Vec<String>,
    replace: Vec<String>,
    remove: Vec<String>,
    #[serde(skip)]
    put_objects: Vec<v1::GuardedDeclaration>,
    #[serde(skip)]
    removed_keys: Vec<v1::GuardedKey>,
}

/// An object in force and its version.
struct CurrentObject {
    version: u64,
    declaration: declaration::Declaration,
}

/// Reads a declarations file.
///
/// Only the format is checked here; the entry validates the declarations against those in force.
pub(crate) fn read(file: &Path) -> Result<declaration::Declarations, commands::CommandError> {
    load::load(file, |_| Vec::new()).map_err(commands::CommandError::usage)
}

/// Generates the identifier of a change for which the operator gave none.
pub(crate) fn new_change_id() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("change-{:x}-{:x}", since.as_nanos(), std::process::id())
}

/// Prints all declarations as YAML.
pub(crate) async fn export(
    client: &mut operator_client::OperatorClient<Channel>,
) -> Result<(), commands::CommandError> {
    let current_objects = list(client).await?;
    print::yaml(&declaration::Declarations::from_objects(
        current_objects.into_iter().map(|object| object.declaration),
    ))
}

/// Prints the changes that `apply` would make.
pub(crate) async fn diff(
    client: &mut operator_client::OperatorClient<Channel>,
    file: &Path,
    format: operator::Format,
) -> Result<(), commands::CommandError> {
    let difference = difference(client, file).await?;
    print_difference(&difference, format)
}

/// Makes the declarations in force equal to a file.
///
/// Additions and replacements are one change, and removals are a second one after it.
pub(crate) async fn apply(
    client: &mut operator_client::OperatorClient<Channel>,
    file: &Path,
    format: operator::Format,
) -> Result<(), commands::CommandError> {
    let difference = difference(client, file).await?;
    if difference.put_objects.is_empty() && difference.removed_keys.is_empty() {
        return print_difference(&difference, format);
    }
    let change_id = new_change_id();
    if !difference.put_objects.is_empty() {
        let request = v1::DeclareRequest {
            change_id: format!("{change_id}-put"),
            objects: difference.put_objects,
        };
        let reply = client.declare(request).await.map_err(rpc_error)?;
        print::change(&reply.into_inner(), format)?;
    }
    if !difference.removed_keys.is_empty() {
        let request = v1::RemoveRequest {
            change_id: format!("{change_id}-remove"),
            keys: difference.removed_keys,
        };
        let reply = client.remove(request).await.map_err(rpc_error)?;
        print::change(&reply.into_inner(), format)?;
    }
    Ok(())
}

fn rpc_error(status: tonic::Status) -> commands::CommandError {
    commands::CommandError::failure(error::OperatorError::CallFailed(Box::new(status)))
}

async fn list(
    client: &mut operator_client::OperatorClient<Channel>,
) -> Result<Vec<CurrentObject>, commands::CommandError> {
    let reply = client.list(v1::ListRequest { kind: 0 }).await.map_err(rpc_error)?;
    let mut current_objects = Vec::new();
    for object in reply.into_inner().objects {
        current_objects.push(CurrentObject {
            version: object.version,
            declaration: convert::declaration_from_proto(object.declaration).map_err(rpc_error)?,
        });
    }
    Ok(current_objects)
}

async fn difference(
    client: &mut operator_client::OperatorClient<Channel>,
    file: &Path,
) -> Result<Difference, commands::CommandError> {
    let desired = read(file)?.into_objects();
    let current_objects = list(client).await?;
    let mut difference = Difference::default();
    for object in &desired {
        let key = object.key();
        let current = current_objects.iter().find(|object| object.declaration.key() == key);
        match current {
            Some(current) if current.declaration == *object => continue,
            Some(_) => difference.replace.push(key.to_string()),
            None => difference.add.push(key.to_string()),
        }
        difference.put_objects.push(v1::GuardedDeclaration {
            declaration: Some(convert::declaration_to_proto(object)),
            seen: Some(current.map_or(0, |object| object.version)),
        });
    }
    for object in &current_objects {
        let key = object.declaration.key();
        if desired.iter().any(|other| other.key() == key) {
            continue;
        }
        difference.remove.push(key.to_string());
        difference.removed_keys.push(v1::GuardedKey {
            key: Some(v1::Key {
                kind: convert::kind_to_proto(key.kind),
                name: key.name.as_str().to_owned(),
            }),
            seen: Some(object.version),
        });
    }
    Ok(difference)
}

fn print_difference(difference: &Difference, format: operator::Format) -> Result<(), commands::CommandError> {
    if format == operator::Format::Json {
        return daemon::print_line(difference);
    }
    let sections = [
        ("+", &difference.add),
        ("~", &difference.replace),
        ("-", &difference.remove),
    ];
    for (mark, keys) in sections {
        for key in keys {
            println!("{mark} {key}");
        }
    }
    if sections.iter().all(|(_, keys)| keys.is_empty()) {
        println!("no difference");
    }
    Ok(())
}
