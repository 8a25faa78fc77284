//! The `sycamorestile operator` command.
//!
//! It has one subcommand for each call of the operators' API, and `export`, `apply` and `diff` for whole declarations
//! files.

mod error;
mod files;
mod print;
mod view;

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bpaf::Bpaf;
use sycamorestile_core::config::declaration;
use sycamorestile_operator_api::convert;
use sycamorestile_operator_api::v1;
use sycamorestile_operator_api::v1::operator_client;
use tonic::transport::{Channel, Endpoint};

use crate::commands;
use crate::commands::daemon;
use crate::commands::operator::error::OperatorError;

/// Timeout of one call and of the connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// A table for people.
    Table,
    /// JSON for scripts.
    Json,
}

impl FromStr for Format {
    type Err = OperatorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(OperatorError::UnknownFormat),
        }
    }
}

/// The key of an object, such as `service/ledger`.
#[derive(Debug, Clone)]
pub(crate) struct KeyArg {
    key: v1::Key,
}

impl FromStr for KeyArg {
    type Err = OperatorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) = text.split_once('/').ok_or(OperatorError::InvalidKey)?;
        let kind = KindArg::from_str(kind)?.kind;
        Ok(Self {
            key: v1::Key {
                kind: convert::kind_to_proto(kind),
                name: name.to_owned(),
            },
        })
    }
}

/// A kind of object.
#[derive(Debug, Clone)]
pub(crate) struct KindArg {
    kind: declaration::Kind,
}

impl FromStr for KindArg {
    type Err = OperatorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let kind = declaration::Kind::ALL.into_iter().find(|kind| kind.as_str() == text);
        kind.map(|kind| Self { kind }).ok_or(OperatorError::UnknownKind)
    }
}

/// Options of `sycamorestile operator`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Address of the entry's API for operators, such as 127.0.0.1:8081
    #[bpaf(argument("ADDR"))]
    addr: std::net::SocketAddr,
    /// Output format: table or json
    #[bpaf(argument("FORMAT"), fallback(Format::Table))]
    format: Format,
    #[bpaf(external)]
    call: Call,
}

/// The call to make.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Call {
    /// Declare or replace the objects of a YAML file in one atomic change
    #[bpaf(command)]
    Declare {
        /// Identifier of the change, which is applied at most once; generated if absent
        #[bpaf(long("change-id"), argument("ID"), optional)]
        change_id: Option<String>,
        /// Expected current version of each object; 0 if it must not exist
        #[bpaf(argument("VERSION"), optional)]
        seen: Option<u64>,
        /// Declarations file in YAML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Remove objects in one atomic change
    #[bpaf(command)]
    Remove {
        /// Identifier of the change, which is applied at most once; generated if absent
        #[bpaf(long("change-id"), argument("ID"), optional)]
        change_id: Option<String>,
        /// Expected current version of each object
        #[bpaf(argument("VERSION"), optional)]
        seen: Option<u64>,
        /// Keys of the objects, such as endpoint/ledger-2
        #[bpaf(positional("KIND/NAME"), some("name at least one object"))]
        keys: Vec<KeyArg>,
    },
    /// Show the result of a change, such as one whose response was lost
    #[bpaf(command("get-change"))]
    GetChange {
        /// Identifier of the change
        #[bpaf(positional("ID"))]
        change_id: String,
    },
    /// Show one object in force
    #[bpaf(command)]
    Get {
        /// Key of the object, such as service/ledger
        #[bpaf(positional("KIND/NAME"))]
        key: KeyArg,
    },
    /// Show all objects in force
    #[bpaf(command)]
    List {
        /// Only objects of this kind: service, group, organisation or endpoint
        #[bpaf(argument("KIND"), optional)]
        kind: Option<KindArg>,
    },
    /// Show the revision, the entries and the agents known to the entry
    #[bpaf(command)]
    Status,
    /// Drain an endpoint's agent: it accepts no new calls and finishes the running ones
    #[bpaf(command)]
    Drain {
        /// Name of the endpoint
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
    },
    /// Show recorded decisions and their causes
    #[bpaf(command)]
    Explain {
        /// Only decisions about this call, as named by the Sycamorestile-Call response header
        #[bpaf(argument("ID"), optional)]
        call: Option<String>,
        /// Only decisions about this endpoint
        #[bpaf(argument("NAME"), optional)]
        endpoint: Option<String>,
        /// Only decisions about this group
        #[bpaf(argument("NAME"), optional)]
        group: Option<String>,
        /// Only decisions of the last MS milliseconds
        #[bpaf(long("since-ms"), argument("MS"), optional)]
        since_ms: Option<u64>,
        /// Maximum number of decisions; the oldest are left out
        #[bpaf(argument("N"), fallback(100))]
        limit: u32,
    },
    /// Print all declarations as YAML
    #[bpaf(command)]
    Export,
    /// Make the declarations in force equal to a YAML file; does nothing if they already are
    #[bpaf(command)]
    Apply {
        /// Declarations file in YAML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the changes that `apply` would make
    #[bpaf(command)]
    Diff {
        /// Declarations file in YAML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

pub(crate) fn run(options: Options) -> Result<(), commands::CommandError> {
    daemon::build_runtime()?.block_on(async {
        let mut client = connect(options.addr).await?;
        run_call(&mut client, options.call, options.format).await
    })
}

async fn connect(
    addr: std::net::SocketAddr,
) -> Result<operator_client::OperatorClient<Channel>, commands::CommandError> {
    let unreachable = |source| commands::CommandError::failure(OperatorError::Unreachable { addr, source });
    let endpoint = Endpoint::from_shared(format!("http://{addr}")).map_err(unreachable)?;
    let channel = endpoint
        .timeout(CALL_TIMEOUT)
        .connect_timeout(CALL_TIMEOUT)
        .connect()
        .await;
    channel.map(operator_client::OperatorClient::new).map_err(unreachable)
}

fn rpc_error(status: tonic::Status) -> commands::CommandError {
    commands::CommandError::failure(OperatorError::CallFailed(Box::new(status)))
}

async fn run_call(
    client: &mut operator_client::OperatorClient<Channel>,
    call: Call,
    format: Format,
) -> Result<(), commands::CommandError> {
    match call {
        Call::Declare { change_id, seen, file } => {
            let objects = files::read(&file)?.into_objects();
            let objects = objects.iter().map(|object| v1::GuardedDeclaration {
                declaration: Some(convert::declaration_to_proto(object)),
                seen,
            });
            let request = v1::DeclareRequest {
                change_id: change_id.unwrap_or_else(files::new_change_id),
                objects: objects.collect(),
            };
            let reply = client.declare(request).await.map_err(rpc_error)?;
            print::change(&reply.into_inner(), format)
        }
        Call::Remove { change_id, seen, keys } => {
            let keys = keys.into_iter().map(|arg| v1::GuardedKey {
                key: Some(arg.key),
                seen,
            });
            let request = v1::RemoveRequest {
                change_id: change_id.unwrap_or_else(files::new_change_id),
                keys: keys.collect(),
            };
            let reply = client.remove(request).await.map_err(rpc_error)?;
            print::change(&reply.into_inner(), format)
        }
        Call::GetChange { change_id } => {
            let reply = client
                .get_change(v1::GetChangeRequest { change_id })
                .await
                .map_err(rpc_error)?;
            print::change(&reply.into_inner(), format)
        }
        Call::Get { key } => {
            let reply = client
                .get(v1::GetRequest { key: Some(key.key) })
                .await
                .map_err(rpc_error)?;
            print::objects(vec![reply.into_inner()], format)
        }
        Call::List { kind } => {
            let kind = kind.map_or(0, |arg| convert::kind_to_proto(arg.kind));
            let reply = client.list(v1::ListRequest { kind }).await.map_err(rpc_error)?;
            print::objects(reply.into_inner().objects, format)
        }
        Call::Status => {
            let reply = client.status(v1::StatusRequest {}).await.map_err(rpc_error)?;
            print::status(&reply.into_inner(), format)
        }
        Call::Drain { endpoint } => {
            let reply = client.drain(v1::DrainRequest { endpoint }).await.map_err(rpc_error)?;
            print::drain(reply.into_inner(), format)
        }
        Call::Explain {
            call,
            endpoint,
            group,
            since_ms,
            limit,
        } => {
            let request = v1::ExplainRequest {
                call,
                endpoint,
                group,
                since_ms,
                limit,
            };
            let reply = client.explain(request).await.map_err(rpc_error)?;
            print::decisions(&reply.into_inner(), format)
        }
        Call::Export => files::export(client).await,
        Call::Apply { file } => files::apply(client, &file, format).await,
        Call::Diff { file } => files::diff(client, &file, format).await,
    }
}
