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
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time-out of the call that writes this agent's own row: all agents may start at once, and a part of the table takes
/// one write after the other.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two tries to write this agent's own row.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why a call to the table gave nothing.
#[derive(Debug, Error)]
pub(crate) enum TableError {
    /// No success came. A write may have taken effect.
    #[error(transparent)]
    Call(#[from] client::CallError),
    /// The answer can't be read.
    #[error(transparent)]
    Decode(#[from] adapter::DecodeError),
}

/// Calls to the table.
pub(crate) struct TableClient {
    client: client::Client,
    adapter: adapter::TableAdapter,
    rank_adapter: rank_adapter::RankAdapter,
    instance: Arc<str>,
    service: Option<Arc<str>>,
}

impl TableClient {
    pub(crate) fn new(
        settings: &settings::Settings,
        adapter: adapter::TableAdapter,
        rank_adapter: rank_adapter::RankAdapter,
    ) -> Self {
        Self {
            client: client::Client::new(settings.table),
            adapter,
            rank_adapter,
            instance: Arc::clone(&settings.instance),
            service: settings.service.clone(),
        }
    }

    /// Takes a number for `group` that is higher than all before it.
    pub(crate) async fn claim_number(&mut self, group: &Arc<str>) -> Result<u64, TableError> {
        let path = (self.adapter.read_path)(adapter::Topic::Leases, None);
        let page = (self.adapter.decode_page)(&self.client.get(&path, CALL_TIMEOUT).await?)?;
        let known = page.rows.iter().find(|row| row.key == *group);
        let known = known.map_or(0, |row| row.version);
        let body = (self.adapter.write_body)(adapter::Topic::Leases, group, self.instance.as_bytes(), Some(known));
        let reply = self.client.post(self.adapter.write_path, body, CALL_TIMEOUT).await?;
        Ok((self.adapter.decode_written)(&reply)?)
    }

    /// Reads the sizes of maps from the declarations; `None` where none are declared.
    pub(crate) async fn read_map_sizes(&mut self) -> Result<Option<rank_adapter::MapSizes>, TableError> {
        let path = (self.adapter.read_path)(adapter::Topic::Declarations, None);
        let page = (self.adapter.decode_page)(&self.client.get(&path, CALL_TIMEOUT).await?)?;
        let key = self.adapter.declarations_key;
        let row = page.rows.iter().find(|row| row.key.as_ref() == key);
        match row.and_then(|row| row.value.as_ref()) {
            Some(value) => Ok((self.rank_adapter.decode_map_sizes)(value, self.service.as_deref())?),
            None => Ok(None),
        }
    }
}

/// Writes where this agent is, so that the others find it.
pub(crate) async fn publish_location(settings: settings::Settings, adapter: adapter::TableAdapter, log: Logger) {
    let mut client = client::Client::new(settings.table);
    let location = message::AgentLocation {
        agent: settings.peers,
        rank: settings.rank,
    };
    let value = location.to_text();
    loop {
        let body = (adapter.write_body)(adapter::Topic::MapAgents, &settings.instance, value.as_bytes(), None);
        match client.post(adapter.write_path, body, PUBLISH_TIMEOUT).await {
            Ok(_) => return,
            Err(e) => warn!(log, "own row not written, trying again"; "error" => %e),
        }
        time::sleep(PUBLISH_RETRY_DELAY).await;
    }
}
