//! The control thread: follows the platform's table and publishes snapshots of its content.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use slog::Logger;
use sycamorestile_core::time;
use sycamorestile_table::{adapter, availability, boot_clock, era, feed, feed_event, reader};
use tokio::runtime::Builder;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time as timer;

use crate::control_state;
use crate::error;
use crate::own_rows;
use crate::peer_read;
use crate::settings;
use crate::snapshot;
use crate::topics;

/// The capacity of the queues of feed events and peers' reads.
const QUEUE_CAPACITY: usize = 64;

/// The interval at which rows of gateways are checked for their renewal.
const GATEWAY_EXPIRY_INTERVAL: Duration = Duration::from_secs(60);
/// The interval at which the age of the last confirmation is checked.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The channels between the exchange and the control thread.
pub(crate) struct FactRows {
    /// Values of rows that gateways wrote.
    pub(crate) rows: mpsc::Receiver<Bytes>,
    /// The value of this gateway's own row.
    pub(crate) own_row: watch::Sender<Vec<u8>>,
}

/// The channels between the traffic thread and the control thread.
pub(crate) struct Control {
    /// The newest snapshot.
    pub(crate) snapshots: watch::Receiver<Arc<snapshot::Snapshot>>,
    /// When the write of this gateway's row began that succeeded last.
    pub(crate) own_row_written: watch::Receiver<Option<time::Time>>,
    /// The reads that peers reported, for the control thread.
    pub(crate) peer_reads: mpsc::Sender<peer_read::PeerRead>,
    /// Wakes the traffic thread when it must tell peers at once of what was read.
    pub(crate) read_news: Arc<Notify>,
    /// The rows of facts about endpoints.
    pub(crate) fact_rows: FactRows,
}

/// Starts the control thread, which runs until the process exits.
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
    let (peer_reads_tx, peer_reads) = mpsc::channel(QUEUE_CAPACITY);
    let (fact_rows_tx, fact_rows) = mpsc::channel(QUEUE_CAPACITY);
    let (own_fact_row, own_fact_row_rx) = watch::channel(Vec::new());
    let (own_row_written_tx, own_row_written) = watch::channel(None);
    let read_news = Arc::new(Notify::new());
    let news = Arc::clone(&read_news);
    let run = move || {
        runtime.block_on(async move {
            let eras = era::EraWatch::default();
            tokio::spawn(own_rows::publish_fact_row(
                settings.clone(),
                adapter,
                eras.clone(),
                own_fact_row_rx,
                log.clone(),
            ));
            tokio::spawn(own_rows::publish_address(
                settings.clone(),
                adapter,
                eras.clone(),
                own_row_written_tx,
                log.clone(),
            ));
            let outputs = Outputs {
                snapshots: tx,
                fact_rows: fact_rows_tx,
                read_news: news,
            };
            control(settings, adapter, eras, peer_reads, outputs, log).await;
        });
    };
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(run)
        .map_err(failed)?;
    Ok(Control {
        snapshots: rx,
        own_row_written,
        peer_reads: peer_reads_tx,
        read_news,
        fact_rows: FactRows {
            rows: fact_rows,
            own_row: own_fact_row,
        },
    })
}

/// What the control thread hands to the traffic thread.
struct Outputs {
    snapshots: watch::Sender<Arc<snapshot::Snapshot>>,
    fact_rows: mpsc::Sender<Bytes>,
    read_news: Arc<Notify>,
}

/// Runs the control thread: applies events of the feeds and reads of peers, and publishes a snapshot after each.
async fn control(
    settings: settings::Settings,
    adapter: adapter::TableAdapter,
    eras: era::EraWatch,
    mut peer_reads: mpsc::Receiver<peer_read::PeerRead>,
    outputs: Outputs,
    log: Logger,
) {
    let (events_tx, mut events) = mpsc::channel(QUEUE_CAPACITY);
    let availability = availability::AvailabilityWatch::new(Arc::clone(&settings.instance));
    let start_feed = |topic, timing| {
        let reader = reader::Reader::new(settings.table, adapter, eras.clone());
        let (feed_control, feed) = feed::Feed::new(topic, timing, reader, availability.clone(), log.clone());
        tokio::spawn(feed.follow(events_tx.clone()));
        feed_control
    };
    let feeds = control_state::Feeds {
        declarations: start_feed(adapter::Topic::Declarations, topics::declarations_timing(&settings)),
        endpoints: start_feed(adapter::Topic::Endpoints, topics::endpoints_timing(&settings)),
    };
    for (topic, timing) in topics::RARE_CHANGES {
        // Their waits never change.
        let _control = start_feed(topic, timing);
    }
    let mut state = control_state::ControlState::new(&settings, adapter, eras, availability, feeds, log);
    let mut confirmation_check = timer::interval(CONFIRMATION_CHECK_INTERVAL);
    confirmation_check.set_missed_tick_behavior(timer::MissedTickBehavior::Delay);
    let mut gateway_expiry = timer::interval(GATEWAY_EXPIRY_INTERVAL);
    gateway_expiry.set_missed_tick_behavior(timer::MissedTickBehavior::Delay);
    loop {
        let next = state.next_expiry();
        let expiry = async {
            match next {
                Some(at) => timer::sleep(at.since(boot_clock::now()) + Duration::from_millis(1)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            event = events.recv() => match event {
                Some((adapter::Topic::Facts, event)) => {
                    forward_fact_rows(event, &outputs.fact_rows).await;
                    continue;
                }
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
            _ = gateway_expiry.tick() => if !state.expire_gateways(GATEWAY_EXPIRY_INTERVAL) {
                continue;
            },
            () = expiry => state.expire_endpoints(),
        }
        outputs.snapshots.send_replace(Arc::new(state.snapshot()));
        if state.take_news() {
            outputs.read_news.notify_one();
        }
    }
}

/// Hands the rows of facts about endpoints to the traffic thread.
async fn forward_fact_rows(event: feed_event::FeedEvent, fact_rows: &mpsc::Sender<Bytes>) {
    let (feed_event::FeedEvent::Snapshot { rows, .. } | feed_event::FeedEvent::Changes { rows, .. }) = event else {
        return;
    };
    for value in rows.into_iter().filter_map(|row| row.value) {
        // The receiver is only dropped when the process exits.
        let _sent = fact_rows.send(value).await;
    }
}
