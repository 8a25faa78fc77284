//! Access to the platform's table: the agent's own row, leadership numbers and map sizes.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_core::spread;
use sycamorestile_expert_map::leadership;
use sycamorestile_table::{adapter, client, era, rank_row};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time;

use crate::rank_adapter;
use crate::settings;

/// Timeout of a request.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of writing this agent's own row. It is longer because all agents may start at once, and the table executes
/// writes to the same part one after the other.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(3);
/// Period over which agents write their rows again when the table comes back from an older copy. It takes 150 writes a
/// second of one kind, and there are up to 12,000 agents.
const REWRITE_PERIOD: Duration = Duration::from_secs(100);
/// Delay between attempts to write this agent's own row.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Error of a request to the table.
#[derive(Debug, Error)]
pub(crate) enum TableError {
    /// The request failed. A write may have taken effect.
    #[error(transparent)]
    Call(#[from] client::CallError),
    /// The response could not be decoded.
    #[error(transparent)]
    Decode(#[from] adapter::DecodeError),
}

/// Client of the platform's table.
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

    /// Claims a leadership number for `group` that is higher than all earlier ones.
    ///
    /// The number follows from the new version of the group's row, which is written only if the row has not changed since it
    /// was read.
    pub(crate) async fn claim_number(&mut self, group: &Arc<str>) -> Result<u64, TableError> {
        let path = (self.adapter.read_path)(adapter::Topic::Leases, None);
        let page = (self.adapter.decode_page)(&self.client.get(&path, CALL_TIMEOUT).await?.body)?;
        let known = page.rows.iter().find(|row| row.key == *group);
        let known = known.map_or(0, |row| row.version);
        let body = (self.adapter.write_body)(adapter::Topic::Leases, group, self.instance.as_bytes(), Some(known));
        let reply = self.client.post(self.adapter.write_path, body, CALL_TIMEOUT).await?;
        let era = (self.adapter.read_era)(&reply.headers).map_or(0, |era| era.0);
        let version = (self.adapter.decode_written)(&reply.body)?;
        Ok(leadership::number_of_claim(era, version))
    }

    /// Reads the map sizes from the declarations. Returns `None` if there are none.
    pub(crate) async fn read_map_sizes(&mut self) -> Result<Option<rank_adapter::MapSizes>, TableError> {
        let path = (self.adapter.read_path)(adapter::Topic::Declarations, None);
        let page = (self.adapter.decode_page)(&self.client.get(&path, CALL_TIMEOUT).await?.body)?;
        let key = self.adapter.declarations_key;
        let row = page.rows.iter().find(|row| row.key.as_ref() == key);
        match row.and_then(|row| row.value.as_ref()) {
            Some(value) => Ok((self.rank_adapter.decode_map_sizes)(value, self.service.as_deref())?),
            None => Ok(None),
        }
    }
}

/// Writes this agent's row to the table, so that other agents find it, and again whenever the rank's slowness changes and in
/// each era of the table.
/// Retries until each write succeeds.
pub(crate) async fn publish_row(
    settings: settings::Settings,
    adapter: adapter::TableAdapter,
    eras: era::EraWatch,
    mut slowness_percent: watch::Receiver<u32>,
    log: Logger,
) {
    let mut client = client::Client::new(settings.table);
    loop {
        let row = rank_row::RankRow {
            agent: settings.peers,
            rank: settings.rank,
            slowness_percent: *slowness_percent.borrow_and_update(),
        };
        let value = row.to_text();
        let body = (adapter.write_body)(adapter::Topic::MapAgents, &settings.instance, value.as_bytes(), None);
        match client.post(adapter.write_path, body, PUBLISH_TIMEOUT).await {
            Ok(response) => {
                let written_in = (adapter.read_era)(&response.headers);
                eras.observe(written_in);
                info!(log, "agent's row written";
                    "slowness_percent" => row.slowness_percent, "era" => written_in.map(|e| e.0));
                let era_ended = async {
                    eras.newer_than(written_in.or(eras.newest())).await;
                    time::sleep(spread::delay(&settings.instance, REWRITE_PERIOD)).await;
                };
                tokio::select! {
                    // The sender is dropped when the agent stops.
                    changed = slowness_percent.changed() => if changed.is_err() {
                        return;
                    },
                    () = era_ended => {}
                }
            }
            Err(e) => {
                warn!(log, "failed to write the agent's row; retrying"; "error" => %e);
                time::sleep(PUBLISH_RETRY_DELAY).await;
            }
        }
    }
}
