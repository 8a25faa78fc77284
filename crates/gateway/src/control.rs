//! The control thread: owns the blackboard and publishes snapshots.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_core::direct::{confirmation, endpoint, endpoint_set};
use sycamorestile_core::time;
use sycamorestile_table::{adapter, boot_clock, client, feed};
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};
use tokio::time as timer;

use crate::error;
use crate::settings;
use crate::snapshot;

/// Feed events that wait for the control thread.
const QUEUE: usize = 64;

/// Pause after a change of the declarations.
const DECLARATIONS_GATHER: Duration = Duration::from_millis(100);
/// Endpoints: leaving ones are to get nothing new after two seconds, so entries may gather for less than half of that.
const ENDPOINTS_PACE: feed::PollTiming = feed::PollTiming {
    max_wait: Duration::from_secs(5),
    batch_delay: Duration::from_millis(800),
};
/// Gateways come and go rarely.
const GATEWAYS_PACE: feed::PollTiming = feed::PollTiming {
    max_wait: Duration::from_secs(25),
    batch_delay: Duration::from_millis(1_500),
};
/// Time-out of the call that writes this gateway's own row.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two tries of it.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(1);

/// Wait of a gateway that takes confirmations over from another one.
const RELAYED_WAIT: Duration = Duration::from_secs(25);
/// Interval at which the age of the last confirmation is looked at.
const LOOK: Duration = Duration::from_millis(250);

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
    pub(crate) told: mpsc::Sender<PeerRead>,
}

/// Starts the thread. It ends with the process.
pub(crate) fn start(
    settings: settings::Settings,
    adapter: adapter::TableAdapter,
    log: Logger,
) -> Result<Control, error::GatewayError> {
    let (tx, rx) = watch::channel(Arc::default());
    let failed = |source| error::GatewayError::Thread {
        what: "control",
        source,
    };
    let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
    let (told, heard) = mpsc::channel(QUEUE);
    let run = move || runtime.block_on(control(settings, adapter, tx, heard, log));
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(run)
        .map_err(failed)?;
    Ok(Control { snapshots: rx, told })
}

async fn control(
    settings: settings::Settings,
    adapter: adapter::TableAdapter,
    tx: watch::Sender<Arc<snapshot::Snapshot>>,
    mut heard: mpsc::Receiver<PeerRead>,
    log: Logger,
) {
    let (events_tx, mut events) = mpsc::channel(QUEUE);
    // The wait bounds the age of the last confirmation.
    let declarations_pace = feed::PollTiming {
        max_wait: confirmation::reader_interval(settings.revocation_limit),
        batch_delay: DECLARATIONS_GATHER,
    };
    let topics = [
        (adapter::Topic::Declarations, declarations_pace),
        (adapter::Topic::Endpoints, ENDPOINTS_PACE),
        (adapter::Topic::Gateways, GATEWAYS_PACE),
    ];
    let mut feed_controls = Vec::new();
    for (topic, pace) in topics {
        let client = client::Client::new(settings.table);
        let (feed_control, control_rx) = feed::FeedControl::channel(pace);
        let tx = events_tx.clone();
        tokio::spawn(feed::follow(topic, adapter, client, pace, control_rx, tx, log.clone()));
        feed_controls.push(feed_control);
    }
    tokio::spawn(announce(settings.clone(), adapter, log.clone()));
    // The first topic is that of the declarations.
    let mut board = Board::new(&settings, adapter, feed_controls.swap_remove(0), log);
    let mut look = timer::interval(LOOK);
    look.set_missed_tick_behavior(timer::MissedTickBehavior::Delay);
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
            told = heard.recv() => match told {
                Some(told) => board.hear(&told),
                None => return,
            },
            _ = look.tick() => {
                board.look();
                continue;
            }
            () = expiry => board.expire(),
        }
        tx.send_replace(Arc::new(board.snapshot.clone()));
    }
}

/// Writes where this gateway is, so that its peers find it.
async fn announce(settings: settings::Settings, adapter: adapter::TableAdapter, log: Logger) {
    let mut client = client::Client::new(settings.table);
    let value = settings.peers.to_string();
    loop {
        let body = (adapter.write_body)(adapter::Topic::Gateways, &settings.instance, value.as_bytes(), None);
        match client.post(adapter.write_path, body, ANNOUNCE_TIMEOUT).await {
            Ok(_) => return,
            Err(e) => warn!(log, "own row not written, trying again"; "error" => %e),
        }
        timer::sleep(ANNOUNCE_PAUSE).await;
    }
}

struct Board {
    adapter: adapter::TableAdapter,
    roster: endpoint_set::EndpointSet,
    snapshot: snapshot::Snapshot,
    /// Own reads of the declarations, and those of other gateways.
    watch: confirmation::ConfirmationWatch,
    /// Interval of a gateway that reads often.
    interval: Duration,
    /// The feed of the declarations.
    declarations: feed::FeedControl,
    /// The newest declarations could not be read, so those in force are not the newest.
    newest_unread: bool,
    /// Whether this gateway read often when it last looked.
    reads: bool,
    log: Logger,
}

impl Board {
    fn new(
        settings: &settings::Settings,
        adapter: adapter::TableAdapter,
        declarations: feed::FeedControl,
        log: Logger,
    ) -> Self {
        let interval = confirmation::reader_interval(settings.revocation_limit);
        Self {
            watch: confirmation::ConfirmationWatch::new(Arc::clone(&settings.instance), interval),
            interval,
            declarations,
            newest_unread: false,
            reads: true,
            adapter,
            roster: endpoint_set::EndpointSet::default(),
            snapshot: snapshot::Snapshot::default(),
            log,
        }
    }

    fn take(&mut self, topic: adapter::Topic, event: feed::FeedEvent) {
        let now = boot_clock::now();
        match (topic, event) {
            (adapter::Topic::Endpoints, feed::FeedEvent::Recovered) => self.roster.table_recovered(now),
            (
                adapter::Topic::Declarations,
                feed::FeedEvent::Snapshot { as_of, clock, rows } | feed::FeedEvent::Changes { as_of, clock, rows },
            ) => {
                self.declare(as_of, clock, &rows);
            }
            (adapter::Topic::Endpoints, feed::FeedEvent::Snapshot { rows, .. }) => {
                let entries = rows.iter().filter_map(|row| self.entry(row)).collect();
                self.roster.replace(entries, now);
                self.snapshot.endpoints_known = true;
                self.publish_endpoints("whole read");
            }
            (adapter::Topic::Endpoints, feed::FeedEvent::Changes { rows, .. }) => {
                for row in &rows {
                    self.change_entry(row, now);
                }
                if !rows.is_empty() {
                    self.publish_endpoints("changes");
                }
            }
            (adapter::Topic::Gateways, feed::FeedEvent::Snapshot { rows, .. }) => {
                self.snapshot.gateways = Arc::default();
                self.find_gateways(&rows);
            }
            (adapter::Topic::Gateways, feed::FeedEvent::Changes { rows, .. }) => self.find_gateways(&rows),
            // Nothing follows from an outage itself, and the other topics are not followed here.
            (_, feed::FeedEvent::Unavailable | feed::FeedEvent::Recovered)
            | (adapter::Topic::MapAgents | adapter::Topic::Leases, _) => {}
        }
    }

    /// Takes what another gateway read: its confirmation counts for the same version, and shows that a newer one exists.
    fn hear(&mut self, told: &PeerRead) {
        let now = boot_clock::now();
        self.watch.record_peer(&told.instance, told.confirmation.table_ms, now);
        let Some(version) = self.snapshot.declared.as_ref().map(|d| d.version) else {
            return;
        };
        let confirmation = &told.confirmation;
        if confirmation.version == version {
            let reading = Duration::from_millis(confirmation.table_ms);
            if let Some(as_of) = self.watch.to_local_time(reading, now) {
                self.snapshot.freshness.confirm(as_of);
            }
        } else if confirmation.version > version && self.watch.should_read(None, true, now) {
            info!(self.log, "newer declarations exist, reading"; "in_force" => version, "told" => confirmation.version, "peer" => told.instance.as_ref());
            self.declarations.read_now();
        }
    }

    /// Reads when the last confirmation is old, and as often as this gateway's part asks for.
    fn look(&mut self) {
        let now = boot_clock::now();
        let reads = self.watch.is_reader(now);
        if reads != self.reads {
            info!(self.log, "reading declarations"; "often" => reads);
            self.reads = reads;
        }
        self.declarations
            .set_wait(if reads { self.interval } else { RELAYED_WAIT });
        let age = self.snapshot.freshness.age(now);
        if age.is_some() && self.watch.should_read(age, false, now) {
            self.declarations.read_now();
        }
    }

    fn declare(&mut self, as_of: time::Time, clock: Option<Duration>, rows: &[adapter::Row]) {
        let ours = rows
            .iter()
            .filter(|row| row.key.as_ref() == self.adapter.declarations_key);
        if let Some(value) = ours.filter_map(|row| row.value.as_ref()).next_back() {
            match (self.adapter.decode_declarations)(value) {
                Ok(declared) => {
                    self.newest_unread = false;
                    self.put_in_force(declared);
                }
                Err(e) => {
                    // What is in force stays so, and is not confirmed: keys in it may have been revoked.
                    warn!(self.log, "declarations can't be read"; "error" => %e);
                    self.newest_unread = true;
                    return;
                }
            }
        }
        if let Some(declared) = self.snapshot.declared.as_ref().filter(|_| !self.newest_unread) {
            self.snapshot.freshness.confirm(as_of);
            if let Some(clock) = clock {
                self.watch.record_read(as_of, clock);
                self.snapshot.own_read = Some(confirmation::Confirmation {
                    version: declared.version,
                    table_ms: clock.as_millis() as u64,
                });
            }
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

    fn entry(&self, row: &adapter::Row) -> Option<endpoint::Endpoint> {
        let value = row.value.as_ref()?;
        match (self.adapter.decode_endpoint)(&row.key, value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                warn!(self.log, "entry skipped"; "endpoint" => row.key.as_ref(), "error" => %e);
                None
            }
        }
    }

    fn change_entry(&mut self, row: &adapter::Row, now: time::Time) {
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

    fn find_gateways(&mut self, rows: &[adapter::Row]) {
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
