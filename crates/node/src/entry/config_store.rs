//! Configuration rows of the platform's table, and the one way to change them.
//!
//! Rows: `config/head` holds the revision; `config/log/{revision}` each change; `config/change/{id}` the revision that
//! a change made; `config/object/{kind}/{name}` each object. A change writes all of them in one transaction that
//! depends on the head row, so changes have one order and a lost answer is settled by reading the change's row.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sycamorestile_core::config::change;
use sycamorestile_core::config::declaration;
use sycamorestile_core::config::state;
use sycamorestile_core::config::transaction;
use sycamorestile_core::name;
use sycamorestile_core::revision;
use sycamorestile_platform::client;
use sycamorestile_platform::commit;
use sycamorestile_platform::error;
use sycamorestile_platform::row;

const HEAD: &str = "config/head";
const LOG: &str = "config/log/";
const OBJECTS: &str = "config/object/";
/// Rows read at once.
const PAGE: usize = 1_000;
/// Tries against other operators who win the race for the head row.
const MAX_COMMIT_ATTEMPTS: u32 = 8;
/// Questions about a change whose answer was lost.
const MAX_OUTCOME_READS: u32 = 3;

/// The head row.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Revision of the last accepted change.
    pub(crate) revision: revision::Revision,
    /// Version of the row itself; zero when there is none.
    #[serde(skip)]
    version: u64,
}

/// Why a change is not known to be accepted.
#[derive(Debug)]
pub(crate) enum SubmitError {
    /// Refused for what it holds.
    Rejected(transaction::Rejection),
    /// The platform did not take it.
    NotApplied(error::PlatformError),
    /// The platform's answer is lost.
    Unknown(error::PlatformError),
    /// Other operators won every race.
    Contended,
}

pub(crate) fn read_head(client: &client::Client) -> Result<Head, error::PlatformError> {
    let reply = client.read(&row::ReadRequest {
        keys: vec![HEAD.to_owned()],
        ..row::ReadRequest::default()
    })?;
    match reply.rows.first() {
        Some(row) => {
            let mut head: Head = value_of(row)?;
            head.version = row.version;
            Ok(head)
        }
        None => Ok(Head::default()),
    }
}

/// Changes after `known`, in order.
pub(crate) fn read_changes(
    client: &client::Client,
    known: revision::Revision,
) -> Result<Vec<change::Change>, error::PlatformError> {
    let reply = client.read(&row::ReadRequest {
        prefix: Some(LOG.to_owned()),
        after: Some(log_key(known)),
        limit: Some(PAGE),
        ..row::ReadRequest::default()
    })?;
    reply.rows.iter().map(value_of).collect()
}

/// All declarations. A change that lands between two pages is noticed by the head row and read again.
pub(crate) fn read_snapshot(client: &client::Client) -> Result<state::ConfigState, error::PlatformError> {
    loop {
        let before = read_head(client)?;
        let entries = read_objects(client)?;
        let after = read_head(client)?;
        if before.revision == after.revision {
            return Ok(state::ConfigState::from_objects(after.revision, entries));
        }
    }
}

fn read_objects(client: &client::Client) -> Result<Vec<state::VersionedObject>, error::PlatformError> {
    let mut entries = Vec::new();
    let mut after = None;
    loop {
        let reply = client.read(&row::ReadRequest {
            prefix: Some(OBJECTS.to_owned()),
            after: after.take(),
            limit: Some(PAGE),
            ..row::ReadRequest::default()
        })?;
        for row in &reply.rows {
            entries.push(value_of(row)?);
        }
        match reply.rows.last() {
            Some(last) if reply.rows.len() == PAGE => after = Some(last.key.clone()),
            _ => return Ok(entries),
        }
    }
}

/// The change called `id`, if it was accepted.
pub(crate) fn read_change(
    client: &client::Client,
    id: &name::Name,
) -> Result<Option<revision::Revision>, error::PlatformError> {
    let reply = client.read(&row::ReadRequest {
        keys: vec![change_key(id)],
        ..row::ReadRequest::default()
    })?;
    reply.rows.first().map(value_of).transpose()
}

/// Has `edits` accepted as the change called `id`. A change that was accepted before is not accepted twice.
///
/// # Errors
///
/// [`SubmitError`], which tells "not applied" from "unknown".
pub(crate) fn submit(
    client: &client::Client,
    known: &state::ConfigState,
    id: &name::Name,
    edits: &[transaction::GuardedEdit],
) -> Result<change::Change, SubmitError> {
    let mut state = known.clone();
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        if let Some(revision) = read_change(client, id).map_err(SubmitError::NotApplied)? {
            return Ok(accepted_change(revision, id, edits));
        }
        let head = read_head(client).map_err(SubmitError::NotApplied)?;
        catch_up(client, &mut state, &head).map_err(SubmitError::NotApplied)?;
        if state.revision() != head.revision {
            continue;
        }
        let change = transaction::build(&state, id.clone(), edits.to_vec()).map_err(SubmitError::Rejected)?;
        let request = request_for(&state, &change, &head).map_err(SubmitError::NotApplied)?;
        match client.commit(&request) {
            Ok(commit::CommitReply::Committed(_)) => return Ok(change),
            Ok(commit::CommitReply::Conflicts { .. }) => {}
            Err(error) if error.is_outcome_unknown() => return resolve_unknown_commit(client, change, error),
            Err(error) => return Err(SubmitError::NotApplied(error)),
        }
    }
    Err(SubmitError::Contended)
}

fn accepted_change(
    revision: revision::Revision,
    id: &name::Name,
    edits: &[transaction::GuardedEdit],
) -> change::Change {
    change::Change {
        revision,
        id: id.clone(),
        edits: edits.iter().map(|e| e.edit.clone()).collect(),
    }
}

/// Finds out what became of a write whose answer was lost.
fn resolve_unknown_commit(
    client: &client::Client,
    change: change::Change,
    error: error::PlatformError,
) -> Result<change::Change, SubmitError> {
    for _ in 0..MAX_OUTCOME_READS {
        // The write may still be on its way, so only its presence proves something.
        if let Ok(Some(revision)) = read_change(client, &change.id) {
            return Ok(change::Change { revision, ..change });
        }
    }
    Err(SubmitError::Unknown(error))
}

fn catch_up(client: &client::Client, state: &mut state::ConfigState, head: &Head) -> Result<(), error::PlatformError> {
    if state.revision() >= head.revision {
        return Ok(());
    }
    for change in read_changes(client, state.revision())? {
        state.apply(&change);
    }
    if state.revision() < head.revision {
        state.adopt_snapshot(&read_snapshot(client)?);
    }
    Ok(())
}

fn request_for(
    state: &state::ConfigState,
    change: &change::Change,
    head: &Head,
) -> Result<commit::CommitRequest, error::PlatformError> {
    let next = state.preview(&change.edits);
    let conditions = vec![
        commit::Condition {
            key: HEAD.to_owned(),
            version: head.version,
        },
        commit::Condition {
            key: change_key(&change.id),
            version: 0,
        },
    ];
    let mut writes = vec![
        write(
            HEAD.to_owned(),
            &Head {
                revision: change.revision,
                version: 0,
            },
        )?,
        write(log_key(change.revision), change)?,
        write(change_key(&change.id), &change.revision)?,
    ];
    for edit in &change.edits {
        writes.push(object_write(edit, &next)?);
    }
    Ok(commit::CommitRequest { conditions, writes })
}

fn object_write(edit: &change::Edit, next: &state::ConfigState) -> Result<commit::Write, error::PlatformError> {
    let key = edit.key();
    match next.get(&key) {
        Some(entry) => write(object_key(&key), entry),
        None => Ok(commit::Write {
            key: object_key(&key),
            value: None,
        }),
    }
}

fn write<T>(key: String, value: &T) -> Result<commit::Write, error::PlatformError>
where
    T: Serialize,
{
    let value = serde_json::to_value(value).map_err(error::PlatformError::EncodeValue)?;
    Ok(commit::Write {
        key,
        value: Some(value),
    })
}

fn value_of<T>(row: &row::Row) -> Result<T, error::PlatformError>
where
    T: DeserializeOwned,
{
    serde_json::from_value(row.value.clone()).map_err(|source| error::PlatformError::DecodeRow {
        key: row.key.clone(),
        source,
    })
}

fn log_key(revision: revision::Revision) -> String {
    format!("{LOG}{:020}", revision.get())
}

fn change_key(id: &name::Name) -> String {
    format!("config/change/{id}")
}

fn object_key(key: &declaration::ObjectKey) -> String {
    format!("{OBJECTS}{key}")
}
