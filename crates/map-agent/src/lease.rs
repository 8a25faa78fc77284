//! What an agent reads and writes in the platform's table: its own row, coordinators' numbers, sizes of maps.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, warn};
use sycamorestile_table::{adapter, client};
use thiserror::Error;
use tokio::time;

use crate::message;
use crate::rank_adapter;
use crate::settings;

/// Time-out of a call.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Time-out of the call that writes this agent's own row: all agents may start at once, and a part of the table takes
/// one write after the other.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two tries to write this agent's own row.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(1);

/// Why a call to the table gave nothing.
#[derive(Debug, Error)]
pub(crate) enum LeaseError {
    /// No success came. A write may have taken effect.
    #[error(transparent)]
    Call(#[from] client::CallError),
    /// The answer can't be read.
    #[error(transparent)]
    Decode(#[from] adapter::DecodeError),
}

/// Calls to the table.
pub(crate) struct LeaseTable {
    calls: client::Client,
    adapter: adapter::TableAdapter,
    rank_adapter: rank_adapter::RankAdapter,
    instance: Arc<str>,
    service: Option<Arc<str>>,
}

impl LeaseTable {
    pub(crate) fn new(
        settings: &settings::Settings,
        adapter: adapter::TableAdapter,
        rank_adapter: rank_adapter::RankAdapter,
    ) -> Self {
        Self {
            calls: client::Client::new(settings.table),
            adapter,
            rank_adapter,
            instance: Arc::clone(&settings.instance),
            service: settings.service.clone(),
        }
    }

    /// Takes a number for `group` that is higher than all before it.
    pub(crate) async fn take_number(&mut self, group: &Arc<str>) -> Result<u64, LeaseError> {
        let read = (self.adapter.read_path)(adapter::Topic::Leases, None);
        let page = (self.adapter.decode_page)(&self.calls.get(&read, TIMEOUT).await?)?;
        let known = page.rows.iter().find(|row| row.key == *group);
        let known = known.map_or(0, |row| row.version);
        let write = (self.adapter.write_body)(adapter::Topic::Leases, group, self.instance.as_bytes(), Some(known));
        let body = self.calls.post(self.adapter.write_path, write, TIMEOUT).await?;
        Ok((self.adapter.decode_written)(&body)?)
    }

    /// Reads the sizes of maps from the declarations; `None` where none are declared.
    pub(crate) async fn sizes(&mut self) -> Result<Option<rank_adapter::MapSizes>, LeaseError> {
        let read = (self.adapter.read_path)(adapter::Topic::Declarations, None);
        let page = (self.adapter.decode_page)(&self.calls.get(&read, TIMEOUT).await?)?;
        let key = self.adapter.declarations_key;
        let row = page.rows.iter().find(|row| row.key.as_ref() == key);
        match row.and_then(|row| row.value.as_ref()) {
            Some(value) => Ok((self.rank_adapter.decode_map_sizes)(value, self.service.as_deref())?),
            None => Ok(None),
        }
    }
}

/// Writes where this agent is, so that the others find it.
pub(crate) async fn announce(settings: settings::Settings, adapter: adapter::TableAdapter, log: Logger) {
    let mut calls = client::Client::new(settings.table);
    let whereabouts = message::Whereabouts {
        agent: settings.peers,
        rank: settings.rank,
    };
    let value = whereabouts.to_text();
    loop {
        let body = (adapter.write_body)(adapter::Topic::MapAgents, &settings.instance, value.as_bytes(), None);
        match calls.post(adapter.write_path, body, ANNOUNCE_TIMEOUT).await {
            Ok(_) => return,
            Err(e) => warn!(log, "own row not written, trying again"; "error" => %e),
        }
        time::sleep(ANNOUNCE_PAUSE).await;
    }
}
