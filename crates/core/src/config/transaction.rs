//! Validation of operators' requests and their conversion into changes.
//!
//! A request contains the version of each object that the operator last read. This module detects conflicts with
//! changes that are already in force at this node. Conflicts with changes that this node has not received yet are
//! detected by the platform's conditional write on the head revision.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::change;
use crate::config::declaration;
use crate::config::fault;
use crate::config::state;
use crate::name;
use crate::revision;

/// An edit with the object version that the operator expects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GuardedEdit {
    /// The edit.
    pub edit: change::Edit,
    /// Version that the operator last read, or zero if the object was not declared. `None` matches any version.
    pub seen: Option<revision::Revision>,
}

/// An object that changed since the operator read it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{key} is at version {found}, not {seen}")]
pub struct Conflict {
    /// The object.
    pub key: declaration::ObjectKey,
    /// Version that the operator last read.
    pub seen: revision::Revision,
    /// Version in force, or zero if the object is not declared.
    pub found: revision::Revision,
}

/// Reason for rejecting a request.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Rejection {
    /// Objects changed since the operator read them.
    #[error("{} objects changed since they were read", .0.len())]
    Conflicts(Vec<Conflict>),
    /// The resulting configuration would be invalid.
    #[error("{} faults in the resulting configuration", .0.len())]
    Faults(Vec<fault::Fault>),
}

/// Builds the change that applies `edits` to `state`.
///
/// # Errors
///
/// Returns a [`Rejection`] if an object is not at the version that the operator read, or if the resulting configuration
/// would be invalid.
pub fn build(state: &state::ConfigState, id: name::Name, edits: Vec<GuardedEdit>) -> Result<change::Change, Rejection> {
    let conflicts: Vec<Conflict> = edits.iter().filter_map(|e| find_conflict(state, e)).collect();
    if !conflicts.is_empty() {
        return Err(Rejection::Conflicts(conflicts));
    }
    let edits: Vec<change::Edit> = edits.into_iter().map(|e| e.edit).collect();
    let faults = validate_edits(state, &edits);
    if !faults.is_empty() {
        return Err(Rejection::Faults(faults));
    }
    Ok(change::Change {
        revision: state.revision().next(),
        id,
        edits,
    })
}

fn find_conflict(state: &state::ConfigState, guarded: &GuardedEdit) -> Option<Conflict> {
    let seen = guarded.seen?;
    let key = guarded.edit.key();
    let found = state.get(&key).map_or(revision::Revision::default(), |e| e.version);
    (found != seen).then_some(Conflict { key, seen, found })
}

/// Returns the faults that `edits` would introduce into the configuration if they were applied to `state`.
pub fn validate_edits(state: &state::ConfigState, edits: &[change::Edit]) -> Vec<fault::Fault> {
    let next = state.preview(edits);
    let mut keys: Vec<declaration::ObjectKey> = edits.iter().map(change::Edit::key).collect();
    keys.sort();
    let mut faults: Vec<fault::Fault> = keys
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .map(|pair| fault::Fault {
            key: pair[0].clone(),
            kind: fault::FaultKind::NamedTwice,
        })
        .collect();
    for edit in edits {
        match edit {
            change::Edit::Put(object) => faults.extend(fault::validate(object, &next)),
            change::Edit::Remove(key) => faults.extend(validate_removal(state, &next, key)),
        }
    }
    // An edit can also invalidate objects other than the edited one. For example, reducing the ranks of a group
    // invalidates endpoints with higher ranks.
    for other in next.objects() {
        if keys.binary_search(&other.key).is_err() && affects(edits, &other.object) {
            faults.extend(fault::validate(&other.object, &next));
        }
    }
    faults
}

fn affects(edits: &[change::Edit], object: &declaration::Declaration) -> bool {
    edits.iter().any(|edit| match edit {
        change::Edit::Put(put) => depends_on(object, &put.key()),
        change::Edit::Remove(_) => false,
    })
}

fn depends_on(object: &declaration::Declaration, key: &declaration::ObjectKey) -> bool {
    match (object, key.kind) {
        (declaration::Declaration::Group(group), declaration::Kind::Service) => group.service == key.name,
        (declaration::Declaration::Endpoint(endpoint), declaration::Kind::Service) => endpoint.service == key.name,
        (declaration::Declaration::Endpoint(endpoint), declaration::Kind::Group) => {
            endpoint.rank_of.as_ref().is_some_and(|p| p.group == key.name)
        }
        _ => false,
    }
}

fn validate_removal(
    state: &state::ConfigState,
    next: &state::ConfigState,
    key: &declaration::ObjectKey,
) -> Vec<fault::Fault> {
    let fault = |kind| fault::Fault { key: key.clone(), kind };
    if state.get(key).is_none() {
        return vec![fault(fault::FaultKind::NotDeclared)];
    }
    next.objects()
        .iter()
        .filter(|o| depends_on(&o.object, key))
        .map(|o| fault(fault::FaultKind::StillUsed { user: o.key.clone() }))
        .collect()
}
