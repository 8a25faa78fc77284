//! The entry's server for operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use sycamorestile_core::config::change;
use sycamorestile_core::config::declaration;
use sycamorestile_core::config::transaction;
use sycamorestile_core::decision_log;
use sycamorestile_core::name;
use sycamorestile_core::revision;
use sycamorestile_core::time;
use sycamorestile_operator_api::v1;
use sycamorestile_operator_api::v1::operator_server::{self, Operator};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use crate::entry::agent_client;
use crate::entry::config_store;
use crate::entry::context;
use crate::error;
use sycamorestile_operator_api::convert;

/// Maximum number of decisions returned if the request specifies no limit.
const DEFAULT_LIMIT: usize = 100;

struct Service {
    cx: Arc<context::EntryContext>,
}

/// A running server for operators.
#[derive(Debug)]
pub(crate) struct OperatorServer {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    /// Set when all calls are complete after a stop.
    ended: watch::Receiver<bool>,
}

impl OperatorServer {
    /// Returns the bound address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Accepts no more connections and waits up to `timeout` until all calls are complete.
    pub(crate) async fn drain(&self, timeout: Duration) {
        self.stop.send_replace(true);
        let mut ended = self.ended.clone();
        // An operator whose call outlasts the timeout asks another entry for the outcome of the change.
        let _ended_in_time = tokio::time::timeout(timeout, ended.wait_for(|ended| *ended)).await;
    }
}

/// Starts the server.
///
/// # Errors
///
/// Returns [`error::StartError::Bind`] if the address cannot be bound.
pub(crate) async fn start(
    addr: SocketAddr,
    cx: Arc<context::EntryContext>,
) -> Result<OperatorServer, error::StartError> {
    let bind = |source| error::StartError::Bind {
        what: "operators",
        addr,
        source,
    };
    let listener = TcpListener::bind(addr).await.map_err(bind)?;
    let bound = listener.local_addr().map_err(bind)?;
    let (stop, mut stopped) = watch::channel(false);
    let (ended_tx, ended) = watch::channel(false);
    let log = cx.log.clone();
    let service = operator_server::OperatorServer::new(Service { cx });
    let server = tonic::transport::Server::builder().add_service(service);
    let stopping = async move {
        // A dropped sender means that the entry is gone, which is treated the same.
        let _stopped = stopped.wait_for(|stop| *stop).await;
    };
    tokio::spawn(async move {
        let serving = server.serve_with_incoming_shutdown(TcpListenerStream::new(listener), stopping);
        if let Err(e) = serving.await {
            warn!(log, "the server for operators failed"; "error" => %e);
        }
        ended_tx.send_replace(true);
    });
    Ok(OperatorServer {
        addr: bound,
        stop,
        ended,
    })
}

/// Submits `edits` to the platform and applies the accepted change at this entry.
pub(crate) async fn declare(
    cx: &Arc<context::EntryContext>,
    id: name::Name,
    edits: Vec<transaction::GuardedEdit>,
) -> Result<change::Change, config_store::SubmitError> {
    let task_cx = Arc::clone(cx);
    let submitted = task::spawn_blocking(move || {
        let known = Arc::clone(&task_cx.snapshot().config);
        config_store::submit(&task_cx.platform, &known, &id, &edits)
    });
    // The blocking task is cancelled only with the runtime. A panic in it is a bug and is propagated.
    let change = match submitted.await {
        Ok(result) => result?,
        Err(join_error) => std::panic::resume_unwind(join_error.into_panic()),
    };
    cx.control.apply_accepted_change(change.clone());
    Ok(change)
}

impl Service {
    async fn submit(
        &self,
        change_id: String,
        edits: Vec<transaction::GuardedEdit>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        let id = name::Name::new(&change_id).map_err(|e| Status::invalid_argument(format!("change_id: {e}")))?;
        if edits.is_empty() {
            return Err(Status::invalid_argument("name at least one object"));
        }
        let result = declare(&self.cx, id, edits).await;
        Ok(Response::new(change_reply(change_id, result)))
    }
}

fn change_reply(change_id: String, result: Result<change::Change, config_store::SubmitError>) -> v1::ChangeReply {
    let mut reply = v1::ChangeReply {
        change_id,
        result: v1::ChangeResult::NotApplied as i32,
        ..v1::ChangeReply::default()
    };
    match result {
        Ok(change) => {
            reply.result = v1::ChangeResult::Applied as i32;
            reply.revision = change.revision.get();
        }
        Err(config_store::SubmitError::Rejected(transaction::Rejection::Conflicts(conflicts))) => {
            reply.conflicts = conflicts.iter().map(convert::conflict_to_proto).collect();
        }
        Err(config_store::SubmitError::Rejected(transaction::Rejection::Faults(faults))) => {
            reply.faults = faults.iter().map(convert::fault_to_proto).collect();
        }
        Err(config_store::SubmitError::NotApplied(error)) => reply.cause = error.to_string(),
        Err(config_store::SubmitError::Contended) => {
            "concurrent changes of other operators were committed first; try again".clone_into(&mut reply.cause);
        }
        Err(config_store::SubmitError::Unknown(error)) => {
            reply.result = v1::ChangeResult::Unknown as i32;
            reply.cause = error.to_string();
        }
    }
    reply
}

fn reply_or_unavailable<T>(reply: Option<T>) -> Result<T, Status> {
    reply.ok_or_else(|| Status::unavailable("the entry is stopping"))
}

#[tonic::async_trait]
impl Operator for Service {
    async fn declare(&self, request: Request<v1::DeclareRequest>) -> Result<Response<v1::ChangeReply>, Status> {
        let request = request.into_inner();
        let mut edits = Vec::with_capacity(request.objects.len());
        for guarded in request.objects {
            let declaration = convert::declaration_from_proto(guarded.declaration)?;
            edits.push(transaction::GuardedEdit {
                edit: change::Edit::Put(declaration),
                seen: guarded.seen.map(revision::Revision::new),
            });
        }
        self.submit(request.change_id, edits).await
    }

    async fn remove(&self, request: Request<v1::RemoveRequest>) -> Result<Response<v1::ChangeReply>, Status> {
        let request = request.into_inner();
        let mut edits = Vec::with_capacity(request.keys.len());
        for guarded in request.keys {
            edits.push(transaction::GuardedEdit {
                edit: change::Edit::Remove(convert::key_from_proto(guarded.key)?),
                seen: guarded.seen.map(revision::Revision::new),
            });
        }
        self.submit(request.change_id, edits).await
    }

    async fn get_change(&self, request: Request<v1::GetChangeRequest>) -> Result<Response<v1::ChangeReply>, Status> {
        let change_id = request.into_inner().change_id;
        let id = name::Name::new(&change_id).map_err(|e| Status::invalid_argument(format!("change_id: {e}")))?;
        let client = self.cx.platform.clone();
        let read = task::spawn_blocking(move || config_store::read_change(&client, &id)).await;
        let read = read.map_err(|e| Status::internal(e.to_string()))?;
        let mut reply = v1::ChangeReply {
            change_id,
            ..v1::ChangeReply::default()
        };
        match read {
            Ok(Some(revision)) => {
                reply.result = v1::ChangeResult::Applied as i32;
                reply.revision = revision.get();
            }
            Ok(None) => reply.result = v1::ChangeResult::NotApplied as i32,
            Err(error) => {
                reply.result = v1::ChangeResult::Unknown as i32;
                reply.cause = error.to_string();
            }
        }
        Ok(Response::new(reply))
    }

    async fn get(&self, request: Request<v1::GetRequest>) -> Result<Response<v1::Object>, Status> {
        let key = convert::key_from_proto(request.into_inner().key)?;
        let snapshot = self.cx.snapshot();
        let object = snapshot
            .config
            .get(&key)
            .ok_or_else(|| Status::not_found(format!("{key} is not declared")))?;
        Ok(Response::new(convert::object_to_proto(object)))
    }

    async fn list(&self, request: Request<v1::ListRequest>) -> Result<Response<v1::ListReply>, Status> {
        let kind = request.into_inner().kind;
        let requested_kind: Option<declaration::Kind> = if kind == 0 {
            None
        } else {
            Some(convert::kind_from_proto(kind)?)
        };
        let snapshot = self.cx.snapshot();
        let objects = snapshot
            .config
            .objects()
            .iter()
            .filter(|o| requested_kind.is_none_or(|kind| o.key.kind == kind))
            .map(convert::object_to_proto);
        Ok(Response::new(v1::ListReply {
            revision: snapshot.config.revision().get(),
            objects: objects.collect(),
        }))
    }

    async fn status(&self, _: Request<v1::StatusRequest>) -> Result<Response<v1::StatusReply>, Status> {
        reply_or_unavailable(self.cx.control.status().await).map(Response::new)
    }

    async fn drain(&self, request: Request<v1::DrainRequest>) -> Result<Response<v1::DrainReply>, Status> {
        let name = request.into_inner().endpoint;
        let endpoint = name::Name::new(&name).map_err(|e| Status::invalid_argument(format!("endpoint: {e}")))?;
        let snapshot = self.cx.snapshot();
        let member = snapshot.members.get(&endpoint);
        let member = member.ok_or_else(|| Status::not_found(format!("no agent of {endpoint} is known")))?;
        let drained = agent_client::AgentClient::for_member(member).drain().await;
        let running = drained.ok_or_else(|| Status::unavailable(format!("the agent of {endpoint} does not reply")))?;
        self.cx.control.mark_draining(endpoint, member.view.incarnation);
        Ok(Response::new(v1::DrainReply { running }))
    }

    async fn explain(&self, request: Request<v1::ExplainRequest>) -> Result<Response<v1::ExplainReply>, Status> {
        let request = request.into_inner();
        let name = |text: Option<String>| text.map(|t| name::Name::new(&t)).transpose();
        let invalid_argument = |e: sycamorestile_core::name::NameError| Status::invalid_argument(e.to_string());
        let now = self.cx.clock.now();
        let since = request.since_ms.map(|ms| {
            time::Time::from_micros(
                (now.since(time::Time::ZERO).saturating_sub(Duration::from_millis(ms))).as_micros() as u64,
            )
        });
        let query = decision_log::Query {
            call: request.call.map(Into::into),
            endpoint: name(request.endpoint).map_err(invalid_argument)?,
            group: name(request.group).map_err(invalid_argument)?,
            since,
            limit: if request.limit == 0 {
                DEFAULT_LIMIT
            } else {
                request.limit as usize
            },
        };
        let (now, decisions) = reply_or_unavailable(self.cx.control.explain(query).await)?;
        let decisions = decisions.iter().map(|d| convert::decision_to_proto(d, now)).collect();
        Ok(Response::new(v1::ExplainReply { decisions }))
    }
}
