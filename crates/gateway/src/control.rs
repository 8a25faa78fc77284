//! The control thread: owns the blackboard and publishes snapshots.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_core::direct::{confirmation, endpoint, endpoint_set};
use sycamorestile_core::time;
use sycamorestile_table::{boot_clock, client, feed, port};
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};
use tokio::time as timer;

use crate::error;
use crate::settings;
use crate::snapshot;

/// Feed events that wait for the control thread.
const QUEUE_CAPACITY: usize = 64;

/// Pause after a change of the declarations.
const DECLARATIONS_GATHER: Duration = Duration::from_millis(100);
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

/// Wait of a gateway that takes confirmations over from another one.
const RELAYED_READ_INTERVAL: Duration = Duration::from_secs(25);
/// Interval at which the age of the last confirmation is looked at.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A read of the declarations that a gateway of the failure domain told of.
#[derive(Debug)]
pub(crate) struct PeerRead {
    /// The gateway.
    pub(crate) instance: Arc<str>,
    /// What it read.
    pub(crate) confirmation: confirmation::Confirmation,
}

/// What the control thread shares with traffic.
pub(crate) struct Control {
    /// What it knows.
    pub(crate) snapshots: watch::Receiver<Arc<snapshot::Snapshot>>,
    /// What peers tell.
    pub(crate) peer_reads: mpsc::Sender<PeerRead>,
}

/// Starts the thread. It ends with the process.
pub(crate) fn start(
    settings: settings::Settings,
    port: port::Port,
    log: Logger,
) -> Result<Control, error::GatewayError> {
    let (tx, rx) = watch::channel(Arc::default());
    let failed = |source| error::GatewayError::Thread {
        what: "control",
        source,
    };
    let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
    let (peer_reads_tx, peer_reads) = mpsc::channel(QUEUE_CAPACITY);
    let run = move || runtime.block_on(control(settings, port, tx, peer_reads, log));
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(run)
        .map_err(failed)?;
    Ok(Control {
        snapshots: rx,
        peer_reads: peer_reads_tx,
    })
}

async fn control(
    settings: settings::Settings,
    port: port::Port,
    tx: watch::Sender<Arc<snapshot::Snapshot>>,
    mut peer_reads: mpsc::Receiver<PeerRead>,
    log: Logger,
) {
    let (events_tx, mut events) = mpsc::channel(QUEUE_CAPACITY);
    // The wait bounds the age of the last confirmation.
    let declarations_pace = feed::Pace {
        wait: confirmation::reader_interval(settings.revocation_limit),
        gather: DECLARATIONS_GATHER,
    };
    let topics = [
        (port::Topic::Declarations, declarations_pace),
        (port::Topic::Endpoints, ENDPOINTS_PACE),
        (port::Topic::Gateways, GATEWAYS_PACE),
    ];
    let mut reins = Vec::new();
    for (topic, pace) in topics {
        let client = client::Client::new(settings.table);
        let (rein_end, rein) = feed::Reins::new(pace);
        let tx = events_tx.clone();
        tokio::spawn(feed::follow(topic, port, client, pace, rein, tx, log.clone()));
        reins.push(rein_end);
    }
    tokio::spawn(announce(settings.clone(), port, log.clone()));
    // The first topic is that of the declarations.
    let mut state = ControlState::new(&settings, port, reins.swap_remove(0), log);
    let mut confirmation_check = timer::interval(CONFIRMATION_CHECK_INTERVAL);
    confirmation_check.set_missed_tick_behavior(timer::MissedTickBehavior::Delay);
    loop {
        let next = state.endpoint_set.next_expiry();
        let expiry = async {
            match next {
                Some(at) => timer::sleep(at.since(boot_clock::now()) + Duration::from_millis(1)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            event = events.recv() => match event {
                Some((topic, event)) => state.apply_feed_event(topic, event),
                None => return,
            },
            read = peer_reads.recv() => match read {
                Some(read) => state.record_peer_read(&read),
                None => return,
            },
            _ = confirmation_check.tick() => {
                state.check_confirmation();
                continue;
            }
            () = expiry => state.expire_endpoints(),
        }
        tx.send_replace(Arc::new(state.snapshot.clone()));
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

struct ControlState {
    port: port::Port,
    endpoint_set: endpoint_set::EndpointSet,
    snapshot: snapshot::Snapshot,
    /// Own reads of the declarations, and those of other gateways.
    confirmations: confirmation::ConfirmationWatch,
    /// Interval of a gateway that reads often.
    reader_interval: Duration,
    /// The feed of the declarations.
    declarations_feed: feed::Reins,
    /// The newest declarations could not be read, so those in force are not the newest.
    newest_undecodable: bool,
    /// Whether this gateway read often when it last looked.
    is_reader: bool,
    log: Logger,
}

impl ControlState {
    fn new(settings: &settings::Settings, port: port::Port, declarations_feed: feed::Reins, log: Logger) -> Self {
        let reader_interval = confirmation::reader_interval(settings.revocation_limit);
        Self {
            confirmations: confirmation::ConfirmationWatch::new(Arc::clone(&settings.instance), reader_interval),
            reader_interval,
            declarations_feed,
            newest_undecodable: false,
            is_reader: true,
            port,
            endpoint_set: endpoint_set::EndpointSet::default(),
            snapshot: snapshot::Snapshot::default(),
            log,
        }
    }

    fn apply_feed_event(&mut self, topic: port::Topic, event: feed::FeedEvent) {
        let now = boot_clock::now();
        match (topic, event) {
            (port::Topic::Endpoints, feed::FeedEvent::Regained) => self.endpoint_set.table_recovered(now),
            (
                port::Topic::Declarations,
                feed::FeedEvent::Whole { as_of, clock, rows } | feed::FeedEvent::Changes { as_of, clock, rows },
            ) => {
                self.apply_declarations(as_of, clock, &rows);
            }
            (port::Topic::Endpoints, feed::FeedEvent::Whole { rows, .. }) => {
                let entries = rows.iter().filter_map(|row| self.decode_endpoint(row)).collect();
                self.endpoint_set.replace(entries, now);
                self.snapshot.endpoints_known = true;
                self.publish_endpoints("whole read");
            }
            (port::Topic::Endpoints, feed::FeedEvent::Changes { rows, .. }) => {
                for row in &rows {
                    self.apply_endpoint_row(row, now);
                }
                if !rows.is_empty() {
                    self.publish_endpoints("changes");
                }
            }
            (port::Topic::Gateways, feed::FeedEvent::Whole { rows, .. }) => {
                self.snapshot.gateways = Arc::default();
                self.update_gateways(&rows);
            }
            (port::Topic::Gateways, feed::FeedEvent::Changes { rows, .. }) => self.update_gateways(&rows),
            // Nothing follows from an outage itself, and the other topics are not followed here.
            (_, feed::FeedEvent::Lost | feed::FeedEvent::Regained)
            | (port::Topic::MapAgents | port::Topic::Leases, _) => {}
        }
    }

    /// Takes what another gateway read: its confirmation counts for the same version, and shows that a newer one exists.
    fn record_peer_read(&mut self, read: &PeerRead) {
        let now = boot_clock::now();
        self.confirmations
            .record_peer(&read.instance, read.confirmation.table_ms, now);
        let Some(version) = self.snapshot.declared.as_ref().map(|d| d.version) else {
            return;
        };
        let confirmation = &read.confirmation;
        if confirmation.version == version {
            let reading = Duration::from_millis(confirmation.table_ms);
            if let Some(as_of) = self.confirmations.to_local_time(reading, now) {
                self.snapshot.freshness.confirm(as_of);
            }
        } else if confirmation.version > version && self.confirmations.should_read(None, true, now) {
            info!(self.log, "newer declarations exist, reading"; "in_force" => version, "told" => confirmation.version, "peer" => read.instance.as_ref());
            self.declarations_feed.read_now();
        }
    }

    /// Reads when the last confirmation is old, and as often as this gateway's part asks for.
    fn check_confirmation(&mut self) {
        let now = boot_clock::now();
        let is_reader = self.confirmations.is_reader(now);
        if is_reader != self.is_reader {
            info!(self.log, "reading declarations"; "often" => is_reader);
            self.is_reader = is_reader;
        }
        self.declarations_feed.set_wait(if is_reader {
            self.reader_interval
        } else {
            RELAYED_READ_INTERVAL
        });
        let age = self.snapshot.freshness.age(now);
        if age.is_some() && self.confirmations.should_read(age, false, now) {
            self.declarations_feed.read_now();
        }
    }

    fn apply_declarations(&mut self, as_of: time::Time, clock: Option<Duration>, rows: &[port::Row]) {
        let matching = rows.iter().filter(|row| row.key.as_ref() == self.port.declarations_key);
        if let Some(value) = matching.filter_map(|row| row.value.as_ref()).next_back() {
            match (self.port.declarations)(value) {
                Ok(declared) => {
                    self.newest_undecodable = false;
                    self.set_declarations(declared);
                }
                Err(e) => {
                    // What is in force stays so, and is not confirmed: keys in it may have been revoked.
                    warn!(self.log, "declarations can't be read"; "error" => %e);
                    self.newest_undecodable = true;
                    return;
                }
            }
        }
        if let Some(declared) = self.snapshot.declared.as_ref().filter(|_| !self.newest_undecodable) {
            self.snapshot.freshness.confirm(as_of);
            if let Some(clock) = clock {
                self.confirmations.record_read(as_of, clock);
                self.snapshot.own_read = Some(confirmation::Confirmation {
                    version: declared.version,
                    table_ms: clock.as_millis() as u64,
                });
            }
        }
    }

    fn set_declarations(&mut self, declared: sycamorestile_core::direct::declarations::Declarations) {
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

    fn decode_endpoint(&self, row: &port::Row) -> Option<endpoint::Endpoint> {
        let value = row.value.as_ref()?;
        match (self.port.endpoint)(&row.key, value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                warn!(self.log, "entry skipped"; "endpoint" => row.key.as_ref(), "error" => %e);
                None
            }
        }
    }

    fn apply_endpoint_row(&mut self, row: &port::Row, now: time::Time) {
        if let Some(entry) = self.decode_endpoint(row) {
            self.endpoint_set.put(entry);
        } else {
            let gone = self.endpoint_set.remove(&row.key, now);
            info!(self.log, "entry removed"; "endpoint" => row.key.as_ref(), "gone" => gone, "version" => row.version);
        }
    }

    fn expire_endpoints(&mut self) {
        self.endpoint_set.expire(boot_clock::now());
        self.publish_endpoints("entries did not come back");
    }

    fn publish_endpoints(&mut self, cause: &str) {
        let mut ready = self.endpoint_set.ready();
        ready.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
        if *self.snapshot.endpoints != ready {
            info!(self.log, "endpoints in force"; "ready" => ready.len(), "former" => self.snapshot.endpoints.len(), "cause" => cause);
            self.snapshot.endpoints = Arc::new(ready);
        }
    }

    fn update_gateways(&mut self, rows: &[port::Row]) {
        let mut known = self.snapshot.gateways.as_ref().clone();
        for row in rows {
            known.retain(|g| g.instance != row.key);
            let text = row.value.as_ref().and_then(|v| std::str::from_utf8(v).ok());
            if let Some(addr) = text.and_then(|t| t.parse().ok()) {
                known.push(snapshot::GatewayAddr {
                    instance: Arc::clone(&row.key),
                    addr,
                });
            }
        }
        self.snapshot.gateways = Arc::new(known);
    }
}
