//! Conversions between the messages of the operator API and the types of `sycamorestile-core`.

use std::net::SocketAddr;

use crate::v1;
use sycamorestile_core::config::declaration;
use sycamorestile_core::config::endpoint;
use sycamorestile_core::config::fault;
use sycamorestile_core::config::group;
use sycamorestile_core::config::organisation;
use sycamorestile_core::config::service;
use sycamorestile_core::config::state;
use sycamorestile_core::config::transaction;
use sycamorestile_core::decision_log;
use sycamorestile_core::entry_board;
use sycamorestile_core::membership;
use sycamorestile_core::name;
use sycamorestile_core::time;
use tonic::Status;

/// Deadline of services that do not declare one.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Maximum body size of services that do not declare one.
const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 20;

fn parse_name(field: &str, text: &str) -> Result<name::Name, Status> {
    name::Name::new(text).map_err(|e| Status::invalid_argument(format!("{field}: {e}")))
}

fn missing_field(field: &str) -> Status {
    Status::invalid_argument(format!("{field} is missing"))
}

/// Converts a kind from its protobuf value.
///
/// # Errors
///
/// Returns `INVALID_ARGUMENT` when the kind is unspecified or unknown.
pub fn kind_from_proto(kind: i32) -> Result<declaration::Kind, Status> {
    match v1::Kind::try_from(kind) {
        Ok(v1::Kind::Service) => Ok(declaration::Kind::Service),
        Ok(v1::Kind::Group) => Ok(declaration::Kind::Group),
        Ok(v1::Kind::Organisation) => Ok(declaration::Kind::Organisation),
        Ok(v1::Kind::Endpoint) => Ok(declaration::Kind::Endpoint),
        Ok(v1::Kind::Unspecified) | Err(_) => Err(missing_field("kind")),
    }
}

/// Converts a kind to its protobuf value.
pub fn kind_to_proto(kind: declaration::Kind) -> i32 {
    let kind = match kind {
        declaration::Kind::Service => v1::Kind::Service,
        declaration::Kind::Group => v1::Kind::Group,
        declaration::Kind::Organisation => v1::Kind::Organisation,
        declaration::Kind::Endpoint => v1::Kind::Endpoint,
    };
    kind as i32
}

/// Converts an object key from its protobuf message.
///
/// # Errors
///
/// Returns `INVALID_ARGUMENT` with the name of the first invalid or missing field.
pub fn key_from_proto(key: Option<v1::Key>) -> Result<declaration::ObjectKey, Status> {
    let key = key.ok_or_else(|| missing_field("key"))?;
    Ok(declaration::ObjectKey {
        kind: kind_from_proto(key.kind)?,
        name: parse_name("name", &key.name)?,
    })
}

fn key_to_proto(key: &declaration::ObjectKey) -> v1::Key {
    v1::Key {
        kind: kind_to_proto(key.kind),
        name: key.name.as_str().to_owned(),
    }
}

/// Converts a conflict to its protobuf message.
pub fn conflict_to_proto(conflict: &transaction::Conflict) -> v1::Conflict {
    v1::Conflict {
        key: Some(key_to_proto(&conflict.key)),
        seen: conflict.seen.get(),
        found: conflict.found.get(),
    }
}

/// Converts a fault to its protobuf message.
pub fn fault_to_proto(fault: &fault::Fault) -> v1::Fault {
    v1::Fault {
        key: Some(key_to_proto(&fault.key)),
        message: fault.kind.to_string(),
    }
}

/// Converts a declaration from its protobuf message.
///
/// A deadline or maximum body size of zero is replaced by its default.
///
/// # Errors
///
/// Returns `INVALID_ARGUMENT` with the name of the first invalid or missing field.
pub fn declaration_from_proto(declaration: Option<v1::Declaration>) -> Result<declaration::Declaration, Status> {
    let object = declaration
        .and_then(|d| d.object)
        .ok_or_else(|| missing_field("object"))?;
    match object {
        v1::declaration::Object::Service(service) => service_from_proto(service).map(declaration::Declaration::Service),
        v1::declaration::Object::Group(group) => group_from_proto(&group).map(declaration::Declaration::Group),
        v1::declaration::Object::Organisation(organisation) => {
            organisation_from_proto(&organisation).map(declaration::Declaration::Organisation)
        }
        v1::declaration::Object::Endpoint(endpoint) => {
            endpoint_from_proto(&endpoint).map(declaration::Declaration::Endpoint)
        }
    }
}

fn service_from_proto(service: v1::Service) -> Result<service::Service, Status> {
    let kind = match v1::ServiceKind::try_from(service.kind) {
        Ok(v1::ServiceKind::Model) => service::ServiceKind::Model,
        Ok(v1::ServiceKind::Plain) => service::ServiceKind::Plain,
        Ok(v1::ServiceKind::Unspecified) | Err(_) => return Err(missing_field("service.kind")),
    };
    let routes = service.routes.into_iter().map(|route| service::Route {
        path: route.path,
        methods: route.methods,
        idempotent: route.idempotent,
    });
    Ok(service::Service {
        name: parse_name("service.name", &service.name)?,
        kind,
        routes: routes.collect(),
        deadline_ms: if service.deadline_ms == 0 {
            DEFAULT_DEADLINE_MS
        } else {
            service.deadline_ms
        },
        max_body_bytes: if service.max_body_bytes == 0 {
            DEFAULT_MAX_BODY_BYTES
        } else {
            service.max_body_bytes
        },
    })
}

fn group_from_proto(group: &v1::Group) -> Result<group::Group, Status> {
    Ok(group::Group {
        name: parse_name("group.name", &group.name)?,
        service: parse_name("group.service", &group.service)?,
        failure_domain: parse_name("group.failure_domain", &group.failure_domain)?,
        ranks: group.ranks,
        experts: group.experts,
        slots: group.slots,
        skew_weight: group.skew_weight,
        cost_weight: group.cost_weight,
        frozen: group.frozen,
    })
}

fn organisation_from_proto(organisation: &v1::Organisation) -> Result<organisation::Organisation, Status> {
    Ok(organisation::Organisation {
        name: parse_name("organisation.name", &organisation.name)?,
        calls_per_second: organisation.calls_per_second,
        burst: organisation.burst,
        weight: organisation.weight,
    })
}

fn endpoint_from_proto(endpoint: &v1::Endpoint) -> Result<endpoint::Endpoint, Status> {
    let invalid_address = |_| Status::invalid_argument("endpoint.address: expected an IP address and a port");
    let address: SocketAddr = endpoint.address.parse().map_err(invalid_address)?;
    let rank_of = endpoint.rank_of.as_ref().map(|rank_of| {
        let group = parse_name("endpoint.rank_of.group", &rank_of.group);
        group.map(|group| endpoint::RankOf {
            group,
            rank: rank_of.rank,
        })
    });
    let mut features = endpoint
        .features
        .iter()
        .map(|f| feature_from_proto(*f))
        .collect::<Result<Vec<_>, _>>()?;
    features.sort_unstable();
    features.dedup();
    Ok(endpoint::Endpoint {
        name: parse_name("endpoint.name", &endpoint.name)?,
        service: parse_name("endpoint.service", &endpoint.service)?,
        failure_domain: parse_name("endpoint.failure_domain", &endpoint.failure_domain)?,
        address,
        slots: endpoint.slots,
        rank_of: rank_of.transpose()?,
        features,
    })
}

fn feature_from_proto(feature: i32) -> Result<endpoint::Feature, Status> {
    match v1::Feature::try_from(feature) {
        Ok(v1::Feature::Resume) => Ok(endpoint::Feature::Resume),
        Ok(v1::Feature::Cancel) => Ok(endpoint::Feature::Cancel),
        Ok(v1::Feature::Priorities) => Ok(endpoint::Feature::Priorities),
        Ok(v1::Feature::KvTransfer) => Ok(endpoint::Feature::KvTransfer),
        Ok(v1::Feature::Fencing) => Ok(endpoint::Feature::Fencing),
        Ok(v1::Feature::Unspecified) | Err(_) => Err(Status::invalid_argument("endpoint.features: unknown feature")),
    }
}

fn feature_to_proto(feature: endpoint::Feature) -> i32 {
    let feature = match feature {
        endpoint::Feature::Resume => v1::Feature::Resume,
        endpoint::Feature::Cancel => v1::Feature::Cancel,
        endpoint::Feature::Priorities => v1::Feature::Priorities,
        endpoint::Feature::KvTransfer => v1::Feature::KvTransfer,
        endpoint::Feature::Fencing => v1::Feature::Fencing,
    };
    feature as i32
}

/// Converts an object of the current configuration to its protobuf message.
pub fn object_to_proto(entry: &state::VersionedObject) -> v1::Object {
    v1::Object {
        declaration: Some(declaration_to_proto(&entry.object)),
        version: entry.version.get(),
    }
}

/// Converts a declaration to its protobuf message.
pub fn declaration_to_proto(object: &declaration::Declaration) -> v1::Declaration {
    let object = match object {
        declaration::Declaration::Service(service) => v1::declaration::Object::Service(service_to_proto(service)),
        declaration::Declaration::Group(group) => v1::declaration::Object::Group(group_to_proto(group)),
        declaration::Declaration::Organisation(organisation) => {
            v1::declaration::Object::Organisation(organisation_to_proto(organisation))
        }
        declaration::Declaration::Endpoint(endpoint) => v1::declaration::Object::Endpoint(endpoint_to_proto(endpoint)),
    };
    v1::Declaration { object: Some(object) }
}

fn service_to_proto(service: &service::Service) -> v1::Service {
    let kind = match service.kind {
        service::ServiceKind::Model => v1::ServiceKind::Model,
        service::ServiceKind::Plain => v1::ServiceKind::Plain,
    };
    let routes = service.routes.iter().map(|route| v1::Route {
        path: route.path.clone(),
        methods: route.methods.clone(),
        idempotent: route.idempotent,
    });
    v1::Service {
        name: service.name.as_str().to_owned(),
        kind: kind as i32,
        routes: routes.collect(),
        deadline_ms: service.deadline_ms,
        max_body_bytes: service.max_body_bytes,
    }
}

fn group_to_proto(group: &group::Group) -> v1::Group {
    v1::Group {
        name: group.name.as_str().to_owned(),
        service: group.service.as_str().to_owned(),
        failure_domain: group.failure_domain.as_str().to_owned(),
        ranks: group.ranks,
        experts: group.experts,
        slots: group.slots,
        skew_weight: group.skew_weight,
        cost_weight: group.cost_weight,
        frozen: group.frozen,
    }
}

fn organisation_to_proto(organisation: &organisation::Organisation) -> v1::Organisation {
    v1::Organisation {
        name: organisation.name.as_str().to_owned(),
        calls_per_second: organisation.calls_per_second,
        burst: organisation.burst,
        weight: organisation.weight,
    }
}

fn endpoint_to_proto(endpoint: &endpoint::Endpoint) -> v1::Endpoint {
    v1::Endpoint {
        name: endpoint.name.as_str().to_owned(),
        service: endpoint.service.as_str().to_owned(),
        failure_domain: endpoint.failure_domain.as_str().to_owned(),
        address: endpoint.address.to_string(),
        slots: endpoint.slots,
        rank_of: endpoint.rank_of.as_ref().map(|rank_of| v1::RankOf {
            group: rank_of.group.as_str().to_owned(),
            rank: rank_of.rank,
        }),
        features: endpoint.features.iter().map(|f| feature_to_proto(*f)).collect(),
    }
}

fn liveness_to_proto(liveness: membership::Liveness) -> i32 {
    let standing = match liveness {
        membership::Liveness::Live => v1::Standing::Live,
        membership::Liveness::Suspect => v1::Standing::Suspect,
        membership::Liveness::Draining => v1::Standing::Leaving,
        membership::Liveness::Gone => v1::Standing::Gone,
    };
    standing as i32
}

fn agent_status(member: &membership::Member, now: time::Time) -> v1::AgentStatus {
    let view = &member.view;
    v1::AgentStatus {
        endpoint: view.endpoint.as_str().to_owned(),
        standing: liveness_to_proto(member.liveness(now)),
        incarnation: view.incarnation.to_string(),
        revision: view.revision.get(),
        silent_ms: now.since(member.last_heard).as_millis() as u64,
        running: view.load.running,
        queued: view.load.queued,
        slots: view.load.slots,
        first_token_us: view.load.first_us,
        token_gap_us: view.load.gap_us,
    }
}

fn entry_status(peer: &entry_board::PeerEntry, now: time::Time) -> v1::EntryStatus {
    v1::EntryStatus {
        instance: peer.instance.as_str().to_owned(),
        failure_domain: peer.failure_domain.as_str().to_owned(),
        revision: peer.revision.get(),
        silent_ms: now.since(peer.last_heard).as_millis() as u64,
    }
}

/// Builds the status reply of an entry from its current state.
pub fn status_reply(board: &entry_board::EntryBoard, now: time::Time) -> v1::StatusReply {
    v1::StatusReply {
        instance: board.instance().as_str().to_owned(),
        failure_domain: board.failure_domain().as_str().to_owned(),
        revision: board.config().revision().get(),
        ready: board.is_ready(),
        leaving: board.draining,
        platform_in_reach: board.platform_in_reach,
        agents: board.members.members().iter().map(|m| agent_status(m, now)).collect(),
        entries: board.peers().iter().map(|p| entry_status(p, now)).collect(),
    }
}

/// Converts a recorded decision to its protobuf message.
///
/// The age of the decision is relative to `now`. Absent names become empty strings.
pub fn decision_to_proto(decision: &decision_log::Decision, now: time::Time) -> v1::Decision {
    let name_or_empty = |name: &Option<name::Name>| name.as_ref().map(|n| n.as_str().to_owned()).unwrap_or_default();
    v1::Decision {
        age_ms: now.since(decision.at).as_millis() as u64,
        action: action_name(decision.action).to_owned(),
        call: decision.call.as_deref().unwrap_or_default().to_owned(),
        endpoint: name_or_empty(&decision.endpoint),
        group: name_or_empty(&decision.group),
        cause: decision.cause.to_string(),
    }
}

fn action_name(action: decision_log::Action) -> &'static str {
    match action {
        decision_log::Action::Refused => "refused",
        decision_log::Action::Retried => "retried",
        decision_log::Action::Resumed => "resumed",
        decision_log::Action::Doubted => "doubted",
        decision_log::Action::Drained => "drained",
        decision_log::Action::Judged => "judged",
        decision_log::Action::Configured => "configured",
    }
}
