//! Validation of declarations.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::declaration;
use crate::config::endpoint;
use crate::config::group;
use crate::config::organisation;
use crate::config::service;
use crate::config::state;
use crate::name;

/// Maximum number of ranks in a group.
pub const MAX_RANKS: u32 = 1_024;
/// Maximum number of experts per layer.
pub const MAX_EXPERTS: u32 = 65_536;
/// Maximum deadline, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Kind of a [`Fault`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Error)]
pub enum FaultKind {
    /// A field has a value that is not allowed.
    #[error("{field} is {value}; use {expected}")]
    OutOfBounds {
        /// The field.
        field: String,
        /// Value of the field.
        value: String,
        /// Description of the allowed values.
        expected: String,
    },
    /// The object refers to another object that is not declared.
    #[error("{field} names {missing}, which is not declared; declare it first")]
    Undeclared {
        /// The field.
        field: String,
        /// The missing object.
        missing: declaration::ObjectKey,
    },
    /// Another endpoint already has the same rank of the group.
    #[error("rank {rank} of group {group} is held by endpoint {holder}; use another rank")]
    RankTaken {
        /// The group.
        group: name::Name,
        /// The rank.
        rank: u32,
        /// The endpoint that already has the rank.
        holder: name::Name,
    },
    /// The group would span several failure domains.
    #[error("group {group} is in failure domain {expected}, not {found}; all ranks of a group must share one")]
    SpansDomains {
        /// The group.
        group: name::Name,
        /// Failure domain of the group.
        expected: name::Name,
        /// Failure domain of the endpoint.
        found: name::Name,
    },
    /// The object doesn't match the kind of its service.
    #[error("service {service} is of kind {kind}; {expected}")]
    WrongKind {
        /// The service.
        service: name::Name,
        /// Kind of the service.
        kind: String,
        /// Description of how to correct the declaration.
        expected: String,
    },
    /// Another object still depends on the object to be removed.
    #[error("{user} still depends on it; remove {user} first")]
    StillUsed {
        /// The dependent object.
        user: declaration::ObjectKey,
    },
    /// The object to be removed is not declared.
    #[error("it is not declared")]
    NotDeclared,
    /// A request edits the object more than once.
    #[error("it is edited more than once in one request; edit it once")]
    NamedTwice,
}

/// A reason why a declared object is invalid.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Error)]
#[error("{key}: {kind}")]
pub struct Fault {
    /// The invalid object.
    pub key: declaration::ObjectKey,
    /// The kind of fault.
    pub kind: FaultKind,
}

/// Returns all faults of `object`. `state` is the configuration that contains it.
pub fn validate(object: &declaration::Declaration, state: &state::ConfigState) -> Vec<Fault> {
    let mut faults = Vec::new();
    match object {
        declaration::Declaration::Service(service) => check_service(service, &mut faults),
        declaration::Declaration::Group(group) => check_group(group, state, &mut faults),
        declaration::Declaration::Organisation(organisation) => check_organisation(organisation, &mut faults),
        declaration::Declaration::Endpoint(endpoint) => check_endpoint(endpoint, state, &mut faults),
    }
    let key = object.key();
    faults
        .into_iter()
        .map(|kind| Fault { key: key.clone(), kind })
        .collect()
}

fn check_bounds(faults: &mut Vec<FaultKind>, in_bounds: bool, field: &str, value: &dyn ToString, expected: &str) {
    if !in_bounds {
        faults.push(FaultKind::OutOfBounds {
            field: field.to_owned(),
            value: value.to_string(),
            expected: expected.to_owned(),
        });
    }
}

fn undeclared(field: &str, kind: declaration::Kind, name: &name::Name) -> FaultKind {
    FaultKind::Undeclared {
        field: field.to_owned(),
        missing: declaration::ObjectKey {
            kind,
            name: name.clone(),
        },
    }
}

fn check_service(service: &service::Service, faults: &mut Vec<FaultKind>) {
    let deadline_fits = (1..=MAX_DEADLINE_MS).contains(&service.deadline_ms);
    check_bounds(
        faults,
        deadline_fits,
        "deadline_ms",
        &service.deadline_ms,
        "1 to 3600000 milliseconds",
    );
    let body_fits = (1..=64 << 20).contains(&service.max_body_bytes);
    check_bounds(
        faults,
        body_fits,
        "max_body_bytes",
        &service.max_body_bytes,
        "1 byte to 64 MiB",
    );
    check_bounds(
        faults,
        !service.routes.is_empty(),
        "routes",
        &"empty",
        "at least one path",
    );
    for route in &service.routes {
        check_bounds(
            faults,
            route.path.starts_with('/'),
            "path",
            &route.path,
            "a path that begins with '/'",
        );
        check_bounds(
            faults,
            !route.methods.is_empty(),
            "methods",
            &"empty",
            "at least one method",
        );
        for method in &route.methods {
            let fits = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
            check_bounds(faults, fits, "methods", &method, "HTTP methods in upper case");
        }
    }
}

fn check_group(group: &group::Group, state: &state::ConfigState, faults: &mut Vec<FaultKind>) {
    check_bounds(
        faults,
        (1..=MAX_RANKS).contains(&group.ranks),
        "ranks",
        &group.ranks,
        "1 to 1024 ranks",
    );
    check_bounds(
        faults,
        (1..=MAX_EXPERTS).contains(&group.experts),
        "experts",
        &group.experts,
        "1 to 65536 experts",
    );
    let total_slots = u64::from(group.ranks) * u64::from(group.slots);
    let slots_fit = total_slots >= u64::from(group.experts) && group.slots <= group.experts;
    check_bounds(
        faults,
        slots_fit,
        "slots",
        &group.slots,
        "no more slots than experts, and ranks x slots of at least the number of experts",
    );
    for (field, weight) in [("skew_weight", group.skew_weight), ("cost_weight", group.cost_weight)] {
        check_bounds(
            faults,
            weight.is_finite() && weight >= 0.0,
            field,
            &weight,
            "a finite number of at least 0",
        );
    }
    match state.service(&group.service) {
        None => faults.push(undeclared("service", declaration::Kind::Service, &group.service)),
        Some(service) if service.kind != service::ServiceKind::Model => faults.push(FaultKind::WrongKind {
            service: group.service.clone(),
            kind: "plain".to_owned(),
            expected: "a group requires a service of kind model".to_owned(),
        }),
        Some(_) => {}
    }
}

fn check_organisation(organisation: &organisation::Organisation, faults: &mut Vec<FaultKind>) {
    let rate_fits = organisation.calls_per_second.is_finite() && organisation.calls_per_second >= 0.0;
    check_bounds(
        faults,
        rate_fits,
        "calls_per_second",
        &organisation.calls_per_second,
        "a finite number of at least 0",
    );
    let burst_fits = organisation.burst.is_finite() && organisation.burst >= 1.0;
    check_bounds(
        faults,
        burst_fits,
        "burst",
        &organisation.burst,
        "a finite number of at least 1",
    );
    check_bounds(
        faults,
        (1..=1_000).contains(&organisation.weight),
        "weight",
        &organisation.weight,
        "1 to 1000",
    );
}

fn check_endpoint(endpoint: &endpoint::Endpoint, state: &state::ConfigState, faults: &mut Vec<FaultKind>) {
    check_bounds(
        faults,
        (1..=4_096).contains(&endpoint.slots),
        "slots",
        &endpoint.slots,
        "1 to 4096 concurrent calls",
    );
    let Some(service) = state.service(&endpoint.service) else {
        faults.push(undeclared("service", declaration::Kind::Service, &endpoint.service));
        return;
    };
    match (&endpoint.rank_of, service.kind) {
        (Some(rank_of), service::ServiceKind::Model) => match state.group(&rank_of.group) {
            None => faults.push(undeclared("rank_of.group", declaration::Kind::Group, &rank_of.group)),
            Some(group) => check_rank(endpoint, group, rank_of.rank, state, faults),
        },
        (None, service::ServiceKind::Plain) => {}
        (None, service::ServiceKind::Model) => faults.push(FaultKind::WrongKind {
            service: endpoint.service.clone(),
            kind: "model".to_owned(),
            expected: "set the group and rank in rank_of".to_owned(),
        }),
        (Some(_), service::ServiceKind::Plain) => faults.push(FaultKind::WrongKind {
            service: endpoint.service.clone(),
            kind: "plain".to_owned(),
            expected: "leave out rank_of".to_owned(),
        }),
    }
}

fn check_rank(
    endpoint: &endpoint::Endpoint,
    group: &group::Group,
    rank: u32,
    state: &state::ConfigState,
    faults: &mut Vec<FaultKind>,
) {
    let expected = format!("a rank below {}", group.ranks);
    check_bounds(faults, rank < group.ranks, "rank_of.rank", &rank, &expected);
    if endpoint.failure_domain != group.failure_domain {
        faults.push(FaultKind::SpansDomains {
            group: group.name.clone(),
            expected: group.failure_domain.clone(),
            found: endpoint.failure_domain.clone(),
        });
    }
    let holder = state.endpoints().find(|other| {
        let has_same_rank = other
            .rank_of
            .as_ref()
            .is_some_and(|p| p.group == group.name && p.rank == rank);
        has_same_rank && other.name != endpoint.name
    });
    if let Some(holder) = holder {
        faults.push(FaultKind::RankTaken {
            group: group.name.clone(),
            rank,
            holder: holder.name.clone(),
        });
    }
}
