//! Access to the configuration rows of the platform's table.
//!
//! `config/head` holds the current revision, `config/log/{revision}` each change, `config/change/{id}` the revision
//! that a change produced and `config/object/{kind}/{name}` each object. A change writes all of these rows in one
//! transaction that is conditional on the head row. This serialises all changes, and the outcome of a transaction whose
//! reply was lost can be determined by reading the row of the change.

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

const HEAD_KEY: &str = "config/head";
const LOG_PREFIX: &str = "config/log/";
const OBJECT_PREFIX: &str = "config/object/";
/// Maximum number of rows read at once.
const PAGE_ROWS: usize = 1_000;
/// Number of commits after which a change is given up because concurrent changes were committed first every time.
const MAX_COMMIT_ROUNDS: u32 = 8;
/// Number of reads to determine whether a change with an unknown outcome was committed.
const MAX_OUTCOME_READS: u32 = 3;

/// The head row.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Revision of the last accepted change.
    pub(crate) revision: revision::Revision,
    /// Version of the row itself; zero if the row does not exist.
    #[serde(skip)]
    version: u64,
}

/// Error of submitting a change.
#[derive(Debug)]
pub(crate) enum SubmitError {
    /// The change is invalid or conflicts with the current objects.
    Rejected(transaction::Rejection),
    /// The platform did not apply the change.
    NotApplied(error::PlatformError),
    /// The platform may or may not have applied the change.
    Unknown(error::PlatformError),
    /// Concurrent changes of other operators were committed first every time.
    Contended,
}

pub(crate) fn read_head(client: &client::Client) -> Result<Head, error::PlatformError> {
    let reply = client.read(&row::ReadRequest {
        keys: vec![HEAD_KEY.to_owned()],
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

/// Reads the changes after revision `known`, in order.
pub(crate) fn read_changes(
    client: &client::Client,
    known: revision::Revision,
) -> Result<Vec<change::Change>, error::PlatformError> {
    let reply = client.read(&row::ReadRequest {
        prefix: Some(LOG_PREFIX.to_owned()),
        after: Some(log_key(known)),
        limit: Some(PAGE_ROWS),
        ..row::ReadRequest::default()
    })?;
    reply.rows.iter().map(value_of).collect()
}

/// Reads all objects. The read is repeated if the head row shows that a change was committed between two pages.
pub(crate) fn read_snapshot(client: &client::Client) -> Result<state::ConfigState, error::PlatformError> {
    loop {
        let before = read_head(client)?;
        let objects = read_objects(client)?;
        let after = read_head(client)?;
        if before.revision == after.revision {
            return Ok(state::ConfigState::from_objects(after.revision, objects));
        }
    }
}

fn read_objects(client: &client::Client) -> Result<Vec<state::VersionedObject>, error::PlatformError> {
    let mut objects = Vec::new();
    let mut after = None;
    loop {
        let reply = client.read(&row::ReadRequest {
            prefix: Some(OBJECT_PREFIX.to_owned()),
            after: after.take(),
            limit: Some(PAGE_ROWS),
            ..row::ReadRequest::default()
        })?;
        for row in &reply.rows {
            objects.push(value_of(row)?);
        }
        match reply.rows.last() {
            Some(last) if reply.rows.len() == PAGE_ROWS => after = Some(last.key.clone()),
            _ => return Ok(objects),
        }
    }
}

/// Reads the revision of the change `id`; `None` if no such change was accepted.
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

/// Submits `edits` as the change `id`. A change that was already accepted is not applied again.
///
/// # Errors
///
/// Returns a [`SubmitError`], which distinguishes a change that was not applied from one with an unknown outcome.
pub(crate) fn submit(
    client: &client::Client,
    known: &state::ConfigState,
    id: &name::Name,
    edits: &[transaction::GuardedEdit],
) -> Result<change::Change, SubmitError> {
    let mut state = known.clone();
    for _ in 0..MAX_COMMIT_ROUNDS {
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

/// Determines the outcome of a commit whose reply was lost.
fn resolve_unknown_commit(
    client: &client::Client,
    change: change::Change,
    error: error::PlatformError,
) -> Result<change::Change, SubmitError> {
    for _ in 0..MAX_OUTCOME_READS {
        // The commit may still be in progress, so a missing row does not prove that it failed.
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
    let next_state = state.preview(&change.edits);
    let conditions = vec![
        commit::Condition {
            key: HEAD_KEY.to_owned(),
            version: head.version,
        },
        commit::Condition {
            key: change_key(&change.id),
            version: 0,
        },
    ];
    let mut writes = vec![
        write(
            HEAD_KEY.to_owned(),
            &Head {
                revision: change.revision,
                version: 0,
            },
        )?,
        write(log_key(change.revision), change)?,
        write(change_key(&change.id), &change.revision)?,
    ];
    for edit in &change.edits {
        writes.push(object_write(edit, &next_state)?);
    }
    Ok(commit::CommitRequest { conditions, writes })
}

fn object_write(edit: &change::Edit, next_state: &state::ConfigState) -> Result<commit::Write, error::PlatformError> {
    let key = edit.key();
    match next_state.get(&key) {
        Some(object) => write(object_key(&key), object),
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
    format!("{LOG_PREFIX}{:020}", revision.get())
}

fn change_key(id: &name::Name) -> String {
    format!("config/change/{id}")
}

fn object_key(key: &declaration::ObjectKey) -> String {
    format!("{OBJECT_PREFIX}{key}")
}
