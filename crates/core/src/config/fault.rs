//! Faults of declarations.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::declaration;
use crate::config::endpoint;
use crate::config::group;
use crate::config::organisation;
use crate::config::service;
use crate::config::state;
use crate::name;

/// Largest number of ranks of a group.
pub const MAX_RANKS: u32 = 1_024;
/// Largest number of experts a layer.
pub const MAX_EXPERTS: u32 = 65_536;
/// Longest deadline, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// What is wrong with a declared object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Error)]
pub enum FaultKind {
    /// A figure lies outside its bounds.
    #[error("{field} is {value}; use {expected}")]
    OutOfBounds {
        /// The field.
        field: String,
        /// What it holds.
        value: String,
        /// What would be right.
        expected: String,
    },
    /// Another object is needed.
    #[error("{field} names {missing}, which is not declared; declare it first")]
    Undeclared {
        /// The field.
        field: String,
        /// The missing object.
        missing: declaration::ObjectKey,
    },
    /// Two endpoints hold one rank.
    #[error("rank {rank} of group {group} is held by endpoint {holder}; use another rank")]
    RankTaken {
        /// The group.
        group: name::Name,
        /// The rank.
        rank: u32,
        /// The endpoint that holds it.
        holder: name::Name,
    },
    /// A group would span failure domains.
    #[error("group {group} stands in failure domain {expected}, not {found}; all ranks of a group share one")]
    SpansDomains {
        /// The group.
        group: name::Name,
        /// The group's failure domain.
        expected: name::Name,
        /// The endpoint's failure domain.
        found: name::Name,
    },
    /// The service and the object don't fit.
    #[error("service {service} is of kind {kind}; {expected}")]
    WrongKind {
        /// The service.
        service: name::Name,
        /// Its kind.
        kind: String,
        /// What would be right.
        expected: String,
    },
    /// Other objects still need the object.
    #[error("{user} still needs it; remove that first")]
    StillUsed {
        /// The object that needs it.
        user: declaration::ObjectKey,
    },
    /// The object does not exist.
    #[error("it is not declared")]
    NotDeclared,
    /// The object is named twice in one request.
    #[error("it is named twice in one request; name it once")]
    NamedTwice,
}

/// A fault and the object that has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Error)]
#[error("{key}: {kind}")]
pub struct Fault {
    /// The object.
    pub key: declaration::ObjectKey,
    /// What is wrong.
    pub kind: FaultKind,
}

/// Every fault of `object`, given the objects that would be in force beside it.
pub fn validate(object: &declaration::Declaration, state: &state::ConfigState) -> Vec<Fault> {
    let mut found = Vec::new();
    match object {
        declaration::Declaration::Service(service) => check_service(service, &mut found),
        declaration::Declaration::Group(group) => check_group(group, state, &mut found),
        declaration::Declaration::Organisation(organisation) => check_organisation(organisation, &mut found),
        declaration::Declaration::Endpoint(endpoint) => check_endpoint(endpoint, state, &mut found),
    }
    let key = object.key();
    found.into_iter().map(|kind| Fault { key: key.clone(), kind }).collect()
}

fn check_bounds(found: &mut Vec<FaultKind>, in_bounds: bool, field: &str, value: &dyn ToString, expected: &str) {
    if !in_bounds {
        found.push(FaultKind::OutOfBounds {
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

fn check_service(service: &service::Service, found: &mut Vec<FaultKind>) {
    let deadline_fits = (1..=MAX_DEADLINE_MS).contains(&service.deadline_ms);
    check_bounds(
        found,
        deadline_fits,
        "deadline_ms",
        &service.deadline_ms,
        "1 to 3600000 milliseconds",
    );
    let body_fits = (1..=64 << 20).contains(&service.max_body_bytes);
    check_bounds(
        found,
        body_fits,
        "max_body_bytes",
        &service.max_body_bytes,
        "1 byte to 64 MiB",
    );
    check_bounds(
        found,
        !service.routes.is_empty(),
        "routes",
        &"empty",
        "at least one path",
    );
    for route in &service.routes {
        check_bounds(
            found,
            route.path.starts_with('/'),
            "path",
            &route.path,
            "a path that begins with '/'",
        );
        check_bounds(
            found,
            !route.methods.is_empty(),
            "methods",
            &"empty",
            "at least one method",
        );
        for method in &route.methods {
            let fits = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
            check_bounds(found, fits, "methods", &method, "HTTP methods in capitals");
        }
    }
}

fn check_group(group: &group::Group, state: &state::ConfigState, found: &mut Vec<FaultKind>) {
    check_bounds(
        found,
        (1..=MAX_RANKS).contains(&group.ranks),
        "ranks",
        &group.ranks,
        "1 to 1024 ranks",
    );
    check_bounds(
        found,
        (1..=MAX_EXPERTS).contains(&group.experts),
        "experts",
        &group.experts,
        "1 to 65536 experts",
    );
    let room = u64::from(group.ranks) * u64::from(group.slots);
    let enough = room >= u64::from(group.experts) && group.slots <= group.experts;
    check_bounds(
        found,
        enough,
        "slots",
        &group.slots,
        "at most one slot an expert, and ranks x slots of at least the experts",
    );
    for (field, weight) in [("skew_weight", group.skew_weight), ("cost_weight", group.cost_weight)] {
        check_bounds(
            found,
            weight.is_finite() && weight >= 0.0,
            field,
            &weight,
            "a finite number of at least 0",
        );
    }
    match state.service(&group.service) {
        None => found.push(undeclared("service", declaration::Kind::Service, &group.service)),
        Some(service) if service.kind != service::ServiceKind::Model => found.push(FaultKind::WrongKind {
            service: group.service.clone(),
            kind: "plain".to_owned(),
            expected: "groups serve services of kind model".to_owned(),
        }),
        Some(_) => {}
    }
}

fn check_organisation(organisation: &organisation::Organisation, found: &mut Vec<FaultKind>) {
    let rate_fits = organisation.calls_per_second.is_finite() && organisation.calls_per_second >= 0.0;
    check_bounds(
        found,
        rate_fits,
        "calls_per_second",
        &organisation.calls_per_second,
        "a finite number of at least 0",
    );
    let burst_fits = organisation.burst.is_finite() && organisation.burst >= 1.0;
    check_bounds(
        found,
        burst_fits,
        "burst",
        &organisation.burst,
        "a finite number of at least 1",
    );
    check_bounds(
        found,
        (1..=1_000).contains(&organisation.weight),
        "weight",
        &organisation.weight,
        "1 to 1000",
    );
}

fn check_endpoint(endpoint: &endpoint::Endpoint, state: &state::ConfigState, found: &mut Vec<FaultKind>) {
    check_bounds(
        found,
        (1..=4_096).contains(&endpoint.slots),
        "slots",
        &endpoint.slots,
        "1 to 4096 calls at once",
    );
    let Some(service) = state.service(&endpoint.service) else {
        found.push(undeclared("service", declaration::Kind::Service, &endpoint.service));
        return;
    };
    match (&endpoint.rank_of, service.kind) {
        (Some(place), service::ServiceKind::Model) => match state.group(&place.group) {
            None => found.push(undeclared("rank_of.group", declaration::Kind::Group, &place.group)),
            Some(group) => check_rank(endpoint, group, place.rank, state, found),
        },
        (None, service::ServiceKind::Plain) => {}
        (None, service::ServiceKind::Model) => found.push(FaultKind::WrongKind {
            service: endpoint.service.clone(),
            kind: "model".to_owned(),
            expected: "name the group and rank in rank_of".to_owned(),
        }),
        (Some(_), service::ServiceKind::Plain) => found.push(FaultKind::WrongKind {
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
    found: &mut Vec<FaultKind>,
) {
    let expected = format!("a rank below {}", group.ranks);
    check_bounds(found, rank < group.ranks, "rank_of.rank", &rank, &expected);
    if endpoint.failure_domain != group.failure_domain {
        found.push(FaultKind::SpansDomains {
            group: group.name.clone(),
            expected: group.failure_domain.clone(),
            found: endpoint.failure_domain.clone(),
        });
    }
    let holder = state.endpoints().find(|other| {
        let same_place = other
            .rank_of
            .as_ref()
            .is_some_and(|p| p.group == group.name && p.rank == rank);
        same_place && other.name != endpoint.name
    });
    if let Some(holder) = holder {
        found.push(FaultKind::RankTaken {
            group: group.name.clone(),
            rank,
            holder: holder.name.clone(),
        });
    }
}
