//! The rows that a gateway keeps in the table: its address and what it has observed of endpoints.

use std::collections::VecDeque;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_core::direct::peer_rows;
use sycamorestile_core::{spread, time};
use sycamorestile_table::{adapter, boot_clock, client, era};
use tokio::sync::watch;
use tokio::time as timer;

use crate::settings;

/// The timeout of a call that writes one of this gateway's own rows.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(3);
/// The period over which gateways write their rows again when the table comes back from an older copy. It takes 150 writes
/// a second of one kind.
const REWRITE_PERIOD: Duration = Duration::from_secs(6);
/// The delay between attempts to write one of them.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The number of writes of facts about endpoints that may follow each other at once. A fact that is decisive together with
/// the one before must not wait, since all gateways may be killed meanwhile.
const FACTS_BURST: usize = 4;
/// The shortest time in which so many writes begin.
const FACTS_BURST_TIME: Duration = Duration::from_secs(2);

/// Writes this gateway's facts about endpoints to the table whenever they change, and again in each era of the table.
/// Retries until a write succeeds.
pub(crate) async fn publish_fact_row(
    settings: settings::Settings,
    adapter: adapter::TableAdapter,
    eras: era::EraWatch,
    mut value: watch::Receiver<Vec<u8>>,
    log: Logger,
) {
    let mut client = client::Client::new(settings.table);
    // When the last writes began, oldest first.
    let mut begun = VecDeque::<time::Time>::with_capacity(FACTS_BURST);
    // The era in which the last write took effect. There is no row before the first change.
    let mut written_in = None;
    if value.changed().await.is_err() {
        return;
    }
    loop {
        if begun.len() == FACTS_BURST
            && let Some(oldest) = begun.pop_front()
        {
            timer::sleep((oldest + FACTS_BURST_TIME).since(boot_clock::now())).await;
        }
        begun.push_back(boot_clock::now());
        loop {
            let newest = value.borrow_and_update().clone();
            let body = (adapter.write_body)(adapter::Topic::Facts, &settings.instance, &newest, None);
            match client.post(adapter.write_path, body, PUBLISH_TIMEOUT).await {
                Ok(response) => {
                    written_in = (adapter.read_era)(&response.headers).or(written_in);
                    break;
                }
                Err(e) => warn!(log, "failed to write facts about endpoints; retrying"; "error" => %e),
            }
            timer::sleep(PUBLISH_RETRY_DELAY).await;
        }
        eras.observe(written_in);
        let era_ended = async {
            eras.newer_than(written_in.or(eras.newest())).await;
            timer::sleep(spread::delay(&settings.instance, REWRITE_PERIOD)).await;
        };
        tokio::select! {
            // The sender is dropped when the process exits.
            changed = value.changed() => if changed.is_err() {
                return;
            },
            () = era_ended => {
                info!(log, "writing facts about endpoints again, since the store's era changed";
                    "former" => written_in.map(|e| e.0), "era" => eras.newest().map(|e| e.0));
            }
        }
    }
}

/// Writes this gateway's address to the table, so that other gateways find it, again in each era of the table, and so often
/// that the row counts on. Retries until the write succeeds, and tells `written` when the write began.
pub(crate) async fn publish_address(
    settings: settings::Settings,
    adapter: adapter::TableAdapter,
    eras: era::EraWatch,
    written: watch::Sender<Option<time::Time>>,
    log: Logger,
) {
    let mut client = client::Client::new(settings.table);
    let value = settings.peers.to_string();
    loop {
        let begun = boot_clock::now();
        let body = (adapter.write_body)(adapter::Topic::Gateways, &settings.instance, value.as_bytes(), None);
        match client.post(adapter.write_path, body, PUBLISH_TIMEOUT).await {
            Ok(response) => {
                let written_in = (adapter.read_era)(&response.headers);
                eras.observe(written_in);
                written.send_replace(Some(begun));
                let era_ended = async {
                    eras.newer_than(written_in.or(eras.newest())).await;
                    timer::sleep(spread::delay(&settings.instance, REWRITE_PERIOD)).await;
                    info!(log, "writing the gateway's row again, since the store's era changed";
                        "former" => written_in.map(|e| e.0), "era" => eras.newest().map(|e| e.0));
                };
                // The row is written again either way.
                let _renewal_due = timer::timeout(peer_rows::RENEWAL_INTERVAL, era_ended).await;
            }
            Err(e) => {
                warn!(log, "failed to write the gateway's row; retrying"; "error" => %e);
                timer::sleep(PUBLISH_RETRY_DELAY).await;
            }
        }
    }
}
