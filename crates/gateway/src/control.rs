//! The control thread: owns the blackboard and publishes snapshots.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_core::direct::{endpoint, roster};
use sycamorestile_core::time;
use sycamorestile_table::{boot_clock, client, feed, port};
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};
use tokio::time as timer;

use crate::error;
use crate::settings;
use crate::snapshot;

/// Feed events that wait for the control thread.
const QUEUE: usize = 64;

/// Declarations: the wait bounds the age of the last confirmation, which has to stay well below the time within which a
/// revoked key must stop (5 s), also when one call fails.
const DECLARATIONS_PACE: feed::Pace = feed::Pace {
    wait: Duration::from_secs(2),
    gather: Duration::from_millis(100),
};
/// Endpoints: leaving ones are to get nothing new after two seconds, so entries may gather for less than half of that.
const ENDPOINTS_PACE: feed::Pace = feed::Pace {
    wait: Duration::from_secs(5),
    gather: Duration::from_millis(800),
};
/// Gateways come and go rarely.
const GATEWAYS_PACE: feed::Pace = feed::Pace {
    wait: Duration::from_secs(25),
    gather: Duration::from_millis(1_500),
};
/// Time-out of the call that writes this gateway's own row.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two tries of it.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(1);

/// Starts the thread. It ends with the process.
pub(crate) fn start(
    settings: settings::Settings,
    port: port::Port,
    log: Logger,
) -> Result<watch::Receiver<Arc<snapshot::Snapshot>>, error::GatewayError> {
    let (tx, rx) = watch::channel(Arc::default());
    let failed = |source| error::GatewayError::Thread {
        what: "control",
        source,
    };
    let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
    let run = move || runtime.block_on(control(settings, port, tx, log));
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(run)
        .map_err(failed)?;
    Ok(rx)
}

async fn control(
    settings: settings::Settings,
    port: port::Port,
    tx: watch::Sender<Arc<snapshot::Snapshot>>,
    log: Logger,
) {
    let (events_tx, mut events) = mpsc::channel(QUEUE);
    let topics = [
        (port::Topic::Declarations, DECLARATIONS_PACE),
        (port::Topic::Endpoints, ENDPOINTS_PACE),
        (port::Topic::Gateways, GATEWAYS_PACE),
    ];
    for (topic, pace) in topics {
        let client = client::Client::new(settings.table);
        tokio::spawn(feed::follow(topic, port, client, pace, events_tx.clone(), log.clone()));
    }
    tokio::spawn(announce(settings.clone(), port, log.clone()));
    let mut board = Board::new(port, log);
    loop {
        let next = board.roster.next_expiry();
        let expiry = async {
            match next {
                Some(at) => timer::sleep(at.since(boot_clock::now()) + Duration::from_millis(1)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            event = events.recv() => match event {
                Some((topic, event)) => board.take(topic, event),
                None => return,
            },
            () = expiry => board.expire(),
        }
        tx.send_replace(Arc::new(board.snapshot.clone()));
    }
}

/// Writes where this gateway is, so that its peers find it.
async fn announce(settings: settings::Settings, port: port::Port, log: Logger) {
    let mut client = client::Client::new(settings.table);
    let value = settings.peers.to_string();
    loop {
        let body = (port.write)(port::Topic::Gateways, &settings.instance, value.as_bytes(), None);
        match client.post(port.write_path, body, ANNOUNCE_TIMEOUT).await {
            Ok(_) => return,
            Err(e) => warn!(log, "own row not written, trying again"; "error" => %e),
        }
        timer::sleep(ANNOUNCE_PAUSE).await;
    }
}

struct Board {
    port: port::Port,
    roster: roster::Roster,
    snapshot: snapshot::Snapshot,
    log: Logger,
}

impl Board {
    fn new(port: port::Port, log: Logger) -> Self {
        Self {
            port,
            roster: roster::Roster::default(),
            snapshot: snapshot::Snapshot::default(),
            log,
        }
    }

    fn take(&mut self, topic: port::Topic, event: feed::FeedEvent) {
        let now = boot_clock::now();
        match (topic, event) {
            (port::Topic::Endpoints, feed::FeedEvent::Regained) => self.roster.regained(now),
            (
                port::Topic::Declarations,
                feed::FeedEvent::Whole { as_of, rows } | feed::FeedEvent::Changes { as_of, rows },
            ) => {
                self.declare(as_of, &rows);
            }
            (port::Topic::Endpoints, feed::FeedEvent::Whole { rows, .. }) => {
                let entries = rows.iter().filter_map(|row| self.entry(row)).collect();
                self.roster.replace(entries, now);
                self.snapshot.endpoints_known = true;
                self.publish_endpoints("whole read");
            }
            (port::Topic::Endpoints, feed::FeedEvent::Changes { rows, .. }) => {
                for row in &rows {
                    self.change_entry(row, now);
                }
                if !rows.is_empty() {
                    self.publish_endpoints("changes");
                }
            }
            (port::Topic::Gateways, feed::FeedEvent::Whole { rows, .. }) => {
                self.snapshot.gateways = Arc::default();
                self.find_gateways(&rows);
            }
            (port::Topic::Gateways, feed::FeedEvent::Changes { rows, .. }) => self.find_gateways(&rows),
            // Nothing follows from an outage itself, and the other topics are not followed here.
            (_, feed::FeedEvent::Lost | feed::FeedEvent::Regained)
            | (port::Topic::MapAgents | port::Topic::Leases, _) => {}
        }
    }

    fn declare(&mut self, as_of: time::Time, rows: &[port::Row]) {
        let ours = rows.iter().filter(|row| row.key.as_ref() == self.port.declarations_key);
        if let Some(value) = ours.filter_map(|row| row.value.as_ref()).next_back() {
            match (self.port.declarations)(value) {
                Ok(declared) => self.put_in_force(declared),
                Err(e) => {
                    // What is in force stays so, and is not confirmed: keys in it may have been revoked.
                    warn!(self.log, "declarations can't be read"; "error" => %e);
                    return;
                }
            }
        }
        if self.snapshot.declared.is_some() {
            self.snapshot.freshness.confirm(as_of);
        }
    }

    fn put_in_force(&mut self, declared: sycamorestile_core::direct::declarations::Declarations) {
        let former = self.snapshot.declared.as_ref().map(|d| d.version);
        if former.is_some_and(|former| declared.version < former) {
            warn!(self.log, "older declarations ignored"; "in_force" => former, "read" => declared.version);
            return;
        }
        if former != Some(declared.version) {
            info!(self.log, "declarations in force"; "version" => declared.version, "former" => former, "routes" => declared.routes.len());
        }
        self.snapshot.declared = Some(Arc::new(declared));
    }

    fn entry(&self, row: &port::Row) -> Option<endpoint::Endpoint> {
        let value = row.value.as_ref()?;
        match (self.port.endpoint)(&row.key, value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                warn!(self.log, "entry skipped"; "endpoint" => row.key.as_ref(), "error" => %e);
                None
            }
        }
    }

    fn change_entry(&mut self, row: &port::Row, now: time::Time) {
        if let Some(entry) = self.entry(row) {
            self.roster.put(entry);
        } else {
            let gone = self.roster.remove(&row.key, now);
            info!(self.log, "entry removed"; "endpoint" => row.key.as_ref(), "gone" => gone, "version" => row.version);
        }
    }

    fn expire(&mut self) {
        self.roster.expire(boot_clock::now());
        self.publish_endpoints("entries did not come back");
    }

    fn publish_endpoints(&mut self, cause: &str) {
        let mut ready = self.roster.ready();
        ready.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
        if *self.snapshot.endpoints != ready {
            info!(self.log, "endpoints in force"; "ready" => ready.len(), "former" => self.snapshot.endpoints.len(), "cause" => cause);
            self.snapshot.endpoints = Arc::new(ready);
        }
    }

    fn find_gateways(&mut self, rows: &[port::Row]) {
        let mut known = self.snapshot.gateways.as_ref().clone();
        for row in rows {
            known.retain(|g| g.instance != row.key);
            let text = row.value.as_ref().and_then(|v| std::str::from_utf8(v).ok());
            if let Some(addr) = text.and_then(|t| t.parse().ok()) {
                known.push(snapshot::GatewayRow {
                    instance: Arc::clone(&row.key),
                    addr,
                });
            }
        }
        self.snapshot.gateways = Arc::new(known);
    }
}
