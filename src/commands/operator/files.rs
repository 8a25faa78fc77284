//! Whole files of declarations: export, diff and apply.

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

/// What has to change for a file to be in force.
#[derive(Debug, Default, Serialize)]
struct Difference {
    add: Vec<String>,
    replace: Vec<String>,
    remove: Vec<String>,
    #[serde(skip)]
    put: Vec<v1::GuardedDeclaration>,
    #[serde(skip)]
    gone: Vec<v1::GuardedKey>,
}

/// An object in force.
struct InForce {
    version: u64,
    declaration: declaration::Declaration,
}

/// Reads a declarations file. Only its form is checked here; the entry checks it against what is in force.
pub(crate) fn read(file: &Path) -> Result<declaration::Declarations, commands::CommandError> {
    load::load(file, |_| Vec::new()).map_err(commands::CommandError::usage)
}

/// An identifier for a change that the operator did not name.
pub(crate) fn new_change_id() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("change-{:x}-{:x}", since.as_nanos(), std::process::id())
}

/// Prints all declarations as YAML.
pub(crate) async fn export(
    client: &mut operator_client::OperatorClient<Channel>,
) -> Result<(), commands::CommandError> {
    let in_force = list(client).await?;
    print::yaml(&declaration::Declarations::from_objects(
        in_force.into_iter().map(|it| it.declaration),
    ))
}

/// Prints what `apply` would change.
pub(crate) async fn diff(
    client: &mut operator_client::OperatorClient<Channel>,
    file: &Path,
    format: operator::Format,
) -> Result<(), commands::CommandError> {
    let difference = difference(client, file).await?;
    show(&difference, format)
}

/// Makes the declarations in force equal to a file. Puts go first, then removals, each as one change.
pub(crate) async fn apply(
    client: &mut operator_client::OperatorClient<Channel>,
    file: &Path,
    format: operator::Format,
) -> Result<(), commands::CommandError> {
    let difference = difference(client, file).await?;
    if difference.put.is_empty() && difference.gone.is_empty() {
        return show(&difference, format);
    }
    let change_id = new_change_id();
    if !difference.put.is_empty() {
        let request = v1::DeclareRequest {
            change_id: format!("{change_id}-put"),
            objects: difference.put,
        };
        let reply = client.declare(request).await.map_err(refused)?;
        print::change(&reply.into_inner(), format)?;
    }
    if !difference.gone.is_empty() {
        let request = v1::RemoveRequest {
            change_id: format!("{change_id}-remove"),
            keys: difference.gone,
        };
        let reply = client.remove(request).await.map_err(refused)?;
        print::change(&reply.into_inner(), format)?;
    }
    Ok(())
}

fn refused(status: tonic::Status) -> commands::CommandError {
    commands::CommandError::failure(error::OperatorError::Refused(Box::new(status)))
}

async fn list(client: &mut operator_client::OperatorClient<Channel>) -> Result<Vec<InForce>, commands::CommandError> {
    let reply = client.list(v1::ListRequest { kind: 0 }).await.map_err(refused)?;
    let mut in_force = Vec::new();
    for object in reply.into_inner().objects {
        in_force.push(InForce {
            version: object.version,
            declaration: convert::declaration_from_proto(object.declaration).map_err(refused)?,
        });
    }
    Ok(in_force)
}

async fn difference(
    client: &mut operator_client::OperatorClient<Channel>,
    file: &Path,
) -> Result<Difference, commands::CommandError> {
    let wanted = read(file)?.into_objects();
    let in_force = list(client).await?;
    let mut difference = Difference::default();
    for object in &wanted {
        let key = object.key();
        let now = in_force.iter().find(|it| it.declaration.key() == key);
        match now {
            Some(now) if now.declaration == *object => continue,
            Some(_) => difference.replace.push(key.to_string()),
            None => difference.add.push(key.to_string()),
        }
        difference.put.push(v1::GuardedDeclaration {
            declaration: Some(convert::declaration_to_proto(object)),
            seen: Some(now.map_or(0, |it| it.version)),
        });
    }
    for it in &in_force {
        let key = it.declaration.key();
        if wanted.iter().any(|object| object.key() == key) {
            continue;
        }
        difference.remove.push(key.to_string());
        difference.gone.push(v1::GuardedKey {
            key: Some(v1::Key {
                kind: convert::kind_to_proto(key.kind),
                name: key.name.as_str().to_owned(),
            }),
            seen: Some(it.version),
        });
    }
    Ok(difference)
}

fn show(difference: &Difference, format: operator::Format) -> Result<(), commands::CommandError> {
    if format == operator::Format::Json {
        return daemon::print_line(difference);
    }
    let marked = [
        ("+", &difference.add),
        ("~", &difference.replace),
        ("-", &difference.remove),
    ];
    for (mark, keys) in marked {
        for key in keys {
            println!("{mark} {key}");
        }
    }
    if marked.iter().all(|(_, keys)| keys.is_empty()) {
        println!("no difference");
    }
    Ok(())
}
