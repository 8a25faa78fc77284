//! Event loop of an agent, which runs on one thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_core::direct::poll_timing;
use sycamorestile_core::time::Time;
use sycamorestile_expert_map::{held_switch, leadership, slowness_report};
use sycamorestile_table::{adapter, availability, boot_clock, era, feed, feed_event, rank_row, reader};
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time;

use crate::coordinator;
use crate::error;
use crate::message;
use crate::peer_links;
use crate::rank_adapter;
use crate::rank_client;
use crate::settings;
use crate::table_client;

/// Shortest heartbeat interval of a coordinator while no map switch is in progress.
const IDLE_INTERVAL: Duration = Duration::from_millis(80);
/// Shortest heartbeat interval while a map switch is in progress.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Heartbeat interval per rank while no map switch is in progress. It covers the CPU time for one rank's status on the
/// small share of a core that a coordinator gets.
const IDLE_INTERVAL_PER_RANK: Duration = Duration::from_millis(2);
/// Heartbeat interval per rank while a map switch is in progress, during which statuses are shorter.
const CHANGE_INTERVAL_PER_RANK: Duration = Duration::from_micros(800);
/// Highest number of ranks that are queried directly at the same time. More would leave the coordinator too little time
/// for the ranks that respond.
const MAX_DIRECT_QUERIES: usize = 12;
/// Interval at which a follower checks whether the coordinator still sends heartbeats.
const FOLLOWER_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failed attempt to claim a leadership number, to read the map sizes or to read the rank's membership.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Timing of the feed of agents' rows.
const AGENTS_TIMING: poll_timing::PollTiming = poll_timing::PollTiming {
    known_within: Duration::from_secs(34),
    batch_delay: Duration::from_millis(1_500),
    need: poll_timing::Need::Background,
};
/// Size of the receive buffer, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Capacity of the queues of feed events and of direct replies.
const QUEUE_CAPACITY: usize = 16;

/// Runs an agent until it receives SIGTERM.
///
/// # Errors
///
/// Returns an [`error::MapAgentError`] if the socket, the runtime or the signal handlers can't be created.
pub fn run(
    settings: settings::Settings,
    table_adapter: adapter::TableAdapter,
    rank_adapter: rank_adapter::RankAdapter,
    log: Logger,
) -> Result<(), error::MapAgentError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(error::MapAgentError::Runtime)?;
    LocalSet::new().block_on(&runtime, async move {
        let addr = settings.peers;
        let socket = UdpSocket::bind(addr)
            .await
            .map_err(|source| error::MapAgentError::Bind { addr, source })?;
        let mut sigterm = signal(SignalKind::terminate()).map_err(error::MapAgentError::Signals)?;
        info!(log, "map agent started"; "instance" => settings.instance.as_ref(),
            "peers" => %addr, "rank" => %settings.rank);
        let mut sighup = signal(SignalKind::hangup()).map_err(error::MapAgentError::Signals)?;
        let mut agent = std::pin::pin!(Agent::new(settings, table_adapter, rank_adapter, socket, log.clone()).run());
        loop {
            tokio::select! {
                () = agent.as_mut() => return Ok(()),
                _ = sigterm.recv() => {
                    info!(log, "map agent stopped");
                    return Ok(());
                }
                _ = sighup.recv() => info!(log, "ignored SIGHUP; changed settings take effect at the next start"),
            }
        }
    })
}

/// Result of contacting a rank directly.
struct DirectReply {
    addr: SocketAddr,
    status: Option<message::RankStatus>,
    /// Whether the rank has seen a higher leadership number.
    is_outdated: bool,
}

struct Agent {
    settings: settings::Settings,
    table_adapter: adapter::TableAdapter,
    rank_adapter: rank_adapter::RankAdapter,
    peer_links: peer_links::PeerLinks,
    rank_client: rank_client::RankClient,
    map_sizes: Option<rank_adapter::MapSizes>,
    leadership: leadership::Leadership,
    /// Time of the coordinator's last heartbeat.
    last_heartbeat: Time,
    /// Membership in the rank's last report.
    membership: Option<rank_adapter::Membership>,
    /// Whether the rank held a pass at its last report.
    is_held: bool,
    /// Whether a map switch was in progress at the coordinator's last heartbeat.
    is_coordinator_busy: bool,
    /// The last hold that a coordinator announced.
    announced_hold: Option<coordinator::AnnouncedHold>,
    coordinator: Option<coordinator::Coordinator>,
    table_client: table_client::TableClient,
    slowness_report: slowness_report::SlownessReport,
    /// The rank's reported slowness, in percent.
    slowness_tx: watch::Sender<u32>,
    /// Time before which neither a leadership number is claimed nor the map sizes are read.
    table_retry_at: Time,
    /// Ranks that are being queried directly.
    direct_queries: Vec<SocketAddr>,
    direct_tx: mpsc::Sender<DirectReply>,
    direct_rx: mpsc::Receiver<DirectReply>,
    log: Logger,
}

impl Agent {
    fn new(
        settings: settings::Settings,
        table_adapter: adapter::TableAdapter,
        rank_adapter: rank_adapter::RankAdapter,
        socket: UdpSocket,
        log: Logger,
    ) -> Self {
        let now = boot_clock::now();
        let (direct_tx, direct_rx) = mpsc::channel(QUEUE_CAPACITY);
        Self {
            rank_client: rank_client::RankClient::new(settings.rank, rank_adapter, log.clone()),
            table_client: table_client::TableClient::new(&settings, table_adapter, rank_adapter),
            peer_links: peer_links::PeerLinks::new(socket, Arc::clone(&settings.instance), log.clone()),
            settings,
            table_adapter,
            rank_adapter,
            map_sizes: None,
            leadership: leadership::Leadership::default(),
            last_heartbeat: now,
            membership: None,
            is_held: false,
            is_coordinator_busy: false,
            announced_hold: None,
            direct_queries: Vec::new(),
            direct_tx,
            direct_rx,
            coordinator: None,
            slowness_report: slowness_report::SlownessReport::default(),
            slowness_tx: watch::Sender::new(rank_row::NORMAL_SLOWNESS),
            table_retry_at: now,
            log,
        }
    }

    async fn run(mut self) {
        let (tx, mut events) = mpsc::channel(QUEUE_CAPACITY);
        let topic = adapter::Topic::MapAgents;
        let eras = era::EraWatch::default();
        let availability = availability::AvailabilityWatch::new(Arc::clone(&self.settings.instance));
        let reader = reader::Reader::new(self.settings.table, self.table_adapter, eras.clone());
        let (_feed_control, feed) =
            feed::Feed::new(topic, AGENTS_TIMING, reader, availability.clone(), self.log.clone());
        tokio::task::spawn_local(feed.follow(tx));
        tokio::task::spawn_local(table_client::publish_row(
            self.settings.clone(),
            self.table_adapter,
            eras,
            self.slowness_tx.subscribe(),
            self.log.clone(),
        ));
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut next_tick = time::Instant::now() + FOLLOWER_INTERVAL;
        loop {
            tokio::select! {
                event = events.recv() => {
                    if let Some((_, event)) = event {
                        self.on_feed_event(event);
                        availability.set_sharers(self.peer_links.locations().count());
                    }
                }
                received = self.peer_links.socket.recv_from(&mut buf) => match received {
                    Ok((len, from)) => self.on_datagram(buf.get(..len).unwrap_or_default().to_vec(), from).await,
                    Err(e) => warn!(self.log, "failed to receive a datagram"; "error" => %e),
                },
                reply = self.direct_rx.recv() => {
                    if let Some(reply) = reply {
                        self.on_direct_reply(reply).await;
                    }
                }
                () = time::sleep_until(next_tick) => {
                    let interval = self.tick().await;
                    next_tick = time::Instant::now() + interval;
                }
            }
        }
    }

    fn on_feed_event(&mut self, event: feed_event::FeedEvent) {
        let rows = match event {
            feed_event::FeedEvent::Snapshot { rows, .. } | feed_event::FeedEvent::Changes { rows, .. } => rows,
            feed_event::FeedEvent::Unavailable | feed_event::FeedEvent::Recovered => return,
        };
        for row in rows {
            self.peer_links.update_peer(&row);
        }
    }

    /// Reads the map sizes. A coordinator reads them only once, since they hardly ever change.
    async fn read_map_sizes(&mut self) {
        match self.table_client.read_map_sizes().await {
            Ok(map_sizes) => self.map_sizes = map_sizes,
            Err(e) => warn!(self.log, "failed to read the map sizes"; "error" => %e),
        }
    }

    async fn on_datagram(&mut self, datagram: Vec<u8>, from: SocketAddr) {
        let now = boot_clock::now();
        match postcard::from_bytes::<message::Message>(&datagram) {
            Ok(message::Message::Heartbeat(heartbeat)) => self.on_heartbeat(heartbeat, from, now).await,
            Ok(message::Message::Order(order)) => self.execute_order(*order, from).await,
            Ok(message::Message::Forward(forwarded)) => self.on_forwarded_order(*forwarded).await,
            Ok(message::Message::Status(status)) => {
                if status.number > self.leadership.number {
                    self.leadership.observe_number(status.number);
                    self.step_down("an agent knows a higher leadership number");
                } else if let Some(coordinator) = &mut self.coordinator {
                    coordinator.record_status(*status, coordinator::RankRoute::Agent(from), now);
                    self.send_orders(now).await;
                }
            }
            Err(e) => warn!(self.log, "failed to decode a datagram"; "from" => %from, "error" => %e),
        }
    }

    /// Records a heartbeat and replies with the rank's status. Heartbeats of other groups and of outdated coordinators
    /// are ignored.
    async fn on_heartbeat(&mut self, heartbeat: message::CoordinatorHeartbeat, from: SocketAddr, now: Time) {
        let is_own_group = self.membership.as_ref().is_none_or(|m| m.group == heartbeat.group);
        if !is_own_group || !self.leadership.observe_number(heartbeat.number) {
            return;
        }
        if !self.leadership.is_coordinator {
            self.step_down("a coordinator with a higher leadership number is active");
        }
        self.last_heartbeat = now;
        self.is_coordinator_busy = heartbeat.is_busy;
        if let Some(pass) = heartbeat.ordered_hold {
            self.announced_hold = Some(coordinator::AnnouncedHold {
                number: heartbeat.number,
                rank: heartbeat.rank,
                pass,
            });
        }
        self.send_status(from, heartbeat.wants_counts).await;
    }

    /// Forwards an order to the other agents and executes the one for this agent's rank.
    async fn on_forwarded_order(&mut self, forwarded: message::ForwardedOrder) {
        for (addr, pending) in forwarded.others {
            let single = message::ForwardedOrder {
                order: rank_adapter::RankOrder {
                    pending,
                    ..forwarded.order.clone()
                },
                others: Vec::new(),
                coordinator: forwarded.coordinator,
            };
            self.peer_links
                .send(&message::Message::Forward(Box::new(single)), addr)
                .await;
        }
        self.execute_order(forwarded.order, forwarded.coordinator).await;
    }

    /// Sends an order to this agent's rank, and the rank's status after it to the coordinator at `from`. Orders under
    /// an outdated leadership number are ignored.
    async fn execute_order(&mut self, order: rank_adapter::RankOrder, from: SocketAddr) {
        if !self.leadership.observe_number(order.number) {
            return;
        }
        let is_outdated = self.rank_client.send_order(&order).await;
        if is_outdated && self.leadership.is_coordinator {
            self.step_down("the rank has seen a higher leadership number");
            self.leadership.is_coordinator = false;
        }
        self.send_status(from, false).await;
    }

    async fn send_status(&mut self, to: SocketAddr, wants_counts: bool) {
        if let Some(status) = self.read_status(wants_counts).await {
            self.peer_links
                .send(&message::Message::Status(Box::new(status)), to)
                .await;
        }
    }

    async fn read_status(&mut self, wants_counts: bool) -> Option<message::RankStatus> {
        match self.rank_client.read_status(self.leadership.number, wants_counts).await {
            Ok(status) => {
                self.membership = Some(status.membership.clone());
                self.is_held = status.view.held.is_some();
                if let Some(percent) = self.slowness_report.update(status.slowness) {
                    self.slowness_tx.send_replace(percent);
                }
                Some(status)
            }
            Err(e) => {
                warn!(self.log, "failed to read the rank's status"; "error" => %e);
                None
            }
        }
    }

    /// Stops coordinating, if this agent does.
    fn step_down(&mut self, cause: &str) {
        if let Some(coordinator) = self.coordinator.take() {
            info!(self.log, "stopped coordinating the group"; "number" => coordinator.number(), "cause" => cause);
        }
    }

    /// Acts according to the agent's role and returns the time until the next tick.
    async fn tick(&mut self) -> Duration {
        let now = boot_clock::now();
        if self.membership.is_none() && self.read_status(false).await.is_none() {
            return RETRY_DELAY;
        }
        let Some(membership) = self.membership.clone() else {
            return FOLLOWER_INTERVAL;
        };
        let silence = now.since(self.last_heartbeat);
        match self
            .leadership
            .role(membership.rank, silence, self.is_held || self.is_coordinator_busy)
        {
            leadership::Role::Follower => FOLLOWER_INTERVAL,
            leadership::Role::Candidate if now < self.table_retry_at => FOLLOWER_INTERVAL,
            leadership::Role::Candidate => {
                self.claim_leadership(&membership).await;
                CHANGE_INTERVAL
            }
            leadership::Role::Coordinator => self.coordinate(&membership, now).await,
        }
    }

    /// Claims a leadership number in the table and starts to coordinate.
    ///
    /// If the claim fails while the agent's rank holds a pass, the agent coordinates under the lost coordinator's
    /// number, only to complete the map switch that is in progress.
    async fn claim_leadership(&mut self, membership: &rank_adapter::Membership) {
        let claimed = self.table_client.claim_number(&membership.group).await;
        let now = boot_clock::now();
        match claimed {
            Ok(number) => {
                self.leadership.claim_number(number);
                self.last_heartbeat = now;
                self.start_coordinating(membership, number, true, now);
            }
            Err(e) => {
                self.table_retry_at = now + RETRY_DELAY;
                warn!(self.log, "failed to claim a leadership number";
                    "group" => membership.group.as_ref(), "error" => %e);
                if self.is_held && self.coordinator.is_none() {
                    self.start_coordinating(membership, self.leadership.number, false, now);
                }
            }
        }
        if let Some(coordinator) = &self.coordinator {
            let heartbeat = Self::heartbeat(coordinator, now);
            self.peer_links.send_to_all(&heartbeat).await;
        }
    }

    fn start_coordinating(&mut self, membership: &rank_adapter::Membership, number: u64, may_plan: bool, now: Time) {
        let mut coordinator = coordinator::Coordinator::new(membership, number, may_plan, now, self.log.clone());
        coordinator.set_predecessor(self.announced_hold);
        self.coordinator = Some(coordinator);
    }

    /// Sends the heartbeat and pending orders, queries ranks whose status is old, and returns the time until the next
    /// tick.
    async fn coordinate(&mut self, membership: &rank_adapter::Membership, now: Time) -> Duration {
        if self.coordinator.as_ref().is_none_or(|c| c.group() != &membership.group) {
            let number = self.leadership.number;
            self.start_coordinating(membership, number, true, now);
        }
        if self.map_sizes.is_none() && now >= self.table_retry_at {
            self.table_retry_at = now + RETRY_DELAY;
            self.read_map_sizes().await;
        }
        let map_sizes = self.map_sizes;
        let Some(coordinator) = &mut self.coordinator else {
            return FOLLOWER_INTERVAL;
        };
        coordinator.set_map_sizes(map_sizes);
        let is_busy = coordinator.is_busy() || coordinator.is_settling();
        let Some(coordinator) = &self.coordinator else {
            return FOLLOWER_INTERVAL;
        };
        let heartbeat = Self::heartbeat(coordinator, now);
        self.peer_links.send_to_all(&heartbeat).await;
        let stale = self
            .peer_links
            .locations()
            .filter(|l| coordinator.needs_direct_query(*l, now));
        let stale: Vec<SocketAddr> = stale.map(|l| l.rank).collect();
        for addr in stale {
            self.contact_directly(addr, None);
        }
        self.send_orders(now).await;
        if is_busy {
            CHANGE_INTERVAL.max(CHANGE_INTERVAL_PER_RANK * membership.size)
        } else {
            IDLE_INTERVAL.max(IDLE_INTERVAL_PER_RANK * membership.size)
        }
    }

    fn heartbeat(coordinator: &coordinator::Coordinator, now: Time) -> message::Message {
        message::Message::Heartbeat(message::CoordinatorHeartbeat {
            group: Arc::clone(coordinator.group()),
            number: coordinator.number(),
            rank: coordinator.own_rank() as u32,
            ordered_hold: coordinator.ordered_hold(),
            is_busy: coordinator.is_busy(),
            wants_counts: coordinator.wants_counts(now),
        })
    }

    /// Sends the coordinator's pending orders, if this agent coordinates. A hold is announced to all agents first.
    async fn send_orders(&mut self, now: Time) {
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let orders = coordinator.pending_orders(now);
        let addressed = orders.into_iter().map(|o| (coordinator.route(o.pending.rank), o));
        let addressed: Vec<(Option<coordinator::RankRoute>, rank_adapter::RankOrder)> = addressed.collect();
        let sends_hold = addressed
            .iter()
            .any(|(_, order)| matches!(order.pending.order, held_switch::Order::Hold(_)));
        if sends_hold {
            let heartbeat = Self::heartbeat(coordinator, now);
            self.peer_links.send_to_all(&heartbeat).await;
        }
        let mut map_orders = Vec::new();
        for (route, order) in addressed {
            // The coordinator sends a hold to the rank itself, not through the rank's agent. Thus the sender and the
            // rank are on different instances, either of which can be lost.
            let route = if matches!(order.pending.order, held_switch::Order::Hold(_)) {
                route.map(|route| self.peer_links.direct_route(route))
            } else {
                route
            };
            match route {
                Some(coordinator::RankRoute::Agent(addr)) if order.map.is_some() => map_orders.push((addr, order)),
                Some(coordinator::RankRoute::Agent(addr)) => {
                    self.peer_links
                        .send(&message::Message::Order(Box::new(order)), addr)
                        .await;
                }
                Some(coordinator::RankRoute::Rank(addr)) => self.contact_directly(addr, Some(order)),
                None => {}
            }
        }
        self.peer_links.distribute_maps(map_orders).await;
    }

    /// Contacts a rank without its agent: sends the order, if there is one, and reads the rank's status.
    fn contact_directly(&mut self, addr: SocketAddr, order: Option<rank_adapter::RankOrder>) {
        if order.is_none() {
            if self.direct_queries.contains(&addr) || self.direct_queries.len() >= MAX_DIRECT_QUERIES {
                return;
            }
            self.direct_queries.push(addr);
        }
        let mut rank_client = rank_client::RankClient::new(addr, self.rank_adapter, self.log.clone());
        let (number, tx, log) = (self.leadership.number, self.direct_tx.clone(), self.log.clone());
        tokio::task::spawn_local(async move {
            let is_outdated = match &order {
                Some(order) => rank_client.send_order(order).await,
                None => false,
            };
            let status = match rank_client.read_status(number, false).await {
                Ok(status) => Some(status),
                Err(e) => {
                    warn!(log, "failed to read the status of a rank directly"; "rank" => %addr, "error" => %e);
                    None
                }
            };
            // Fails only if the agent's event loop has ended, and with it the process.
            let _sent = tx
                .send(DirectReply {
                    addr,
                    status,
                    is_outdated,
                })
                .await;
        });
    }

    async fn on_direct_reply(&mut self, reply: DirectReply) {
        self.direct_queries.retain(|a| *a != reply.addr);
        if reply.is_outdated && self.leadership.is_coordinator {
            self.leadership.is_coordinator = false;
            self.step_down("a rank has seen a higher leadership number");
        }
        let now = boot_clock::now();
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        if let Some(status) = reply.status {
            coordinator.record_status(status, coordinator::RankRoute::Rank(reply.addr), now);
            self.send_orders(now).await;
        }
    }
}
