//! The agent's one thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_core::time::Time;
use sycamorestile_expert_map::{held_switch, leadership};
use sycamorestile_table::{adapter, boot_clock, client, feed};
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time;

use crate::coordinator;
use crate::error;
use crate::lease;
use crate::links;
use crate::message;
use crate::rank;
use crate::rank_adapter;
use crate::settings;

/// Interval of a coordinator that is at rest, at least.
const REST: Duration = Duration::from_millis(125);
/// Interval while a change is under way, at least.
const BUSY: Duration = Duration::from_millis(50);
/// Time that a coordinator's small share of a core needs for the states of one rank, for each interval at rest.
const REST_PER_RANK: Duration = Duration::from_millis(2);
/// The same while a change is under way, when states are shorter.
const BUSY_PER_RANK: Duration = Duration::from_micros(800);
/// Ranks that are asked directly at once. More would take the coordinator's time from those that do answer.
const MAX_ASKED: usize = 12;
/// Interval at which a follower looks whether its coordinator is gone.
const WATCH: Duration = Duration::from_millis(200);
/// Pause after a failed try to take a number.
const LEASE_PAUSE: Duration = Duration::from_millis(500);
/// How the rows of other agents are followed.
const AGENTS_TIMING: feed::PollTiming = feed::PollTiming {
    max_wait: Duration::from_secs(25),
    batch_delay: Duration::from_millis(1_500),
};
/// Largest datagram.
const MAX_DATAGRAM: usize = 60 << 10;
/// Feed events that wait.
const QUEUE: usize = 16;

/// Runs an agent until SIGTERM.
///
/// # Errors
///
/// [`error::MapAgentError`] when the socket or the runtime can't be had.
pub fn run(
    settings: settings::Settings,
    table: adapter::TableAdapter,
    rank_adapter: rank_adapter::RankAdapter,
    log: Logger,
) -> Result<(), error::MapAgentError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(error::MapAgentError::Runtime)?;
    LocalSet::new().block_on(&runtime, async move {
        let addr = settings.peers;
        let socket = UdpSocket::bind(addr).await.map_err(|source| error::MapAgentError::Bind { addr, source })?;
        let mut term = signal(SignalKind::terminate()).map_err(error::MapAgentError::Signals)?;
        info!(log, "map agent started"; "instance" => settings.instance.as_ref(), "peers" => %addr, "rank" => %settings.rank);
        let mut hangup = signal(SignalKind::hangup()).map_err(error::MapAgentError::Signals)?;
        let mut agent = std::pin::pin!(Agent::new(settings, table, rank_adapter, socket, log.clone()).run());
        loop {
            tokio::select! {
                () = agent.as_mut() => return Ok(()),
                _ = term.recv() => {
                    info!(log, "map agent left");
                    return Ok(());
                }
                _ = hangup.recv() => info!(log, "settings take effect at the next start"),
            }
        }
    })
}

/// What a rank without a working agent answered.
struct Direct {
    addr: SocketAddr,
    state: Option<message::State>,
    /// Whether it has seen a higher number.
    outdated: bool,
}

struct Agent {
    settings: settings::Settings,
    table: adapter::TableAdapter,
    rank_adapter: rank_adapter::RankAdapter,
    links: links::Links,
    rank: rank::Rank,
    sizes: Option<rank_adapter::MapSizes>,
    leadership: leadership::Leadership,
    /// When the coordinator was last heard.
    heard: Time,
    /// What the rank last reported.
    membership: Option<rank_adapter::Membership>,
    is_held: bool,
    /// Whether the coordinator was changing maps when it was last heard.
    leads_busily: bool,
    /// What was heard of its holds.
    announced: Option<coordinator::Announced>,
    coordinator: Option<coordinator::Coordinator>,
    leases: lease::LeaseTable,
    /// No call to the table is made before this time.
    lease_pause: Time,
    /// Ranks that are being asked directly.
    asked: Vec<SocketAddr>,
    direct_tx: mpsc::Sender<Direct>,
    direct_rx: mpsc::Receiver<Direct>,
    log: Logger,
}

impl Agent {
    fn new(
        settings: settings::Settings,
        table: adapter::TableAdapter,
        rank_adapter: rank_adapter::RankAdapter,
        socket: UdpSocket,
        log: Logger,
    ) -> Self {
        let now = boot_clock::now();
        let (direct_tx, direct_rx) = mpsc::channel(QUEUE);
        Self {
            rank: rank::Rank::new(settings.rank, rank_adapter, log.clone()),
            leases: lease::LeaseTable::new(&settings, table, rank_adapter),
            links: links::Links::new(socket, Arc::clone(&settings.instance), log.clone()),
            settings,
            table,
            rank_adapter,
            sizes: None,
            leadership: leadership::Leadership::default(),
            heard: now,
            membership: None,
            is_held: false,
            leads_busily: false,
            announced: None,
            asked: Vec::new(),
            direct_tx,
            direct_rx,
            coordinator: None,
            lease_pause: now,
            log,
        }
    }

    async fn run(mut self) {
        let (tx, mut events) = mpsc::channel(QUEUE);
        let calls = client::Client::new(self.settings.table);
        let topic = adapter::Topic::MapAgents;
        let (_feed_control, control_rx) = feed::FeedControl::channel(AGENTS_TIMING);
        tokio::task::spawn_local(feed::follow(
            topic,
            self.table,
            calls,
            AGENTS_TIMING,
            control_rx,
            tx,
            self.log.clone(),
        ));
        tokio::task::spawn_local(lease::announce(self.settings.clone(), self.table, self.log.clone()));
        let mut buf = vec![0; MAX_DATAGRAM];
        let mut next = time::Instant::now() + WATCH;
        loop {
            tokio::select! {
                event = events.recv() => {
                    if let Some((_, event)) = event {
                        self.learn(event);
                    }
                }
                received = self.links.socket.recv_from(&mut buf) => match received {
                    Ok((len, from)) => self.take(buf.get(..len).unwrap_or_default().to_vec(), from).await,
                    Err(e) => warn!(self.log, "datagram not received"; "error" => %e),
                },
                direct = self.direct_rx.recv() => {
                    if let Some(direct) = direct {
                        self.take_direct(direct).await;
                    }
                }
                () = time::sleep_until(next) => {
                    let pause = self.tick().await;
                    next = time::Instant::now() + pause;
                }
            }
        }
    }

    fn learn(&mut self, event: feed::FeedEvent) {
        let rows = match event {
            feed::FeedEvent::Snapshot { rows, .. } | feed::FeedEvent::Changes { rows, .. } => rows,
            feed::FeedEvent::Unavailable | feed::FeedEvent::Recovered => return,
        };
        for row in rows {
            self.links.learn(&row);
        }
    }

    /// Reads the sizes of maps. They hardly ever change, so a coordinator reads them once.
    async fn learn_sizes(&mut self) {
        match self.leases.sizes().await {
            Ok(sizes) => self.sizes = sizes,
            Err(e) => warn!(self.log, "sizes of maps not known"; "error" => %e),
        }
    }

    async fn take(&mut self, datagram: Vec<u8>, from: SocketAddr) {
        let now = boot_clock::now();
        match postcard::from_bytes::<message::Message>(&datagram) {
            Ok(message::Message::Lead(lead)) => self.follow(lead, from, now).await,
            Ok(message::Message::Order(order)) => self.carry_out(*order, from).await,
            Ok(message::Message::Relay(relay)) => self.relay(*relay).await,
            Ok(message::Message::State(state)) => {
                if state.number > self.leadership.number {
                    self.leadership.observe_number(state.number);
                    self.step_down("an agent knows a higher number");
                } else if let Some(coordinator) = &mut self.coordinator {
                    coordinator.take(*state, coordinator::Via::Agent(from), now);
                    self.give_orders(now).await;
                }
            }
            Err(e) => warn!(self.log, "datagram can't be read"; "from" => %from, "error" => %e),
        }
    }

    async fn follow(&mut self, lead: message::Lead, from: SocketAddr, now: Time) {
        let ours = self.membership.as_ref().is_none_or(|m| m.group == lead.group);
        if !ours || !self.leadership.observe_number(lead.number) {
            return;
        }
        if !self.leadership.is_coordinator {
            self.step_down("a higher number leads");
        }
        self.heard = now;
        self.leads_busily = lead.is_busy;
        if let Some(pass) = lead.holds {
            self.announced = Some(coordinator::Announced {
                number: lead.number,
                rank: lead.rank,
                pass,
            });
        }
        self.tell_state(from, lead.wants_counts).await;
    }

    /// Hands an order on and carries out its own part.
    async fn relay(&mut self, relay: message::Relay) {
        for (addr, due) in relay.others {
            let part = message::Relay {
                order: rank_adapter::RankOrder {
                    pending: due,
                    ..relay.order.clone()
                },
                others: Vec::new(),
                coordinator: relay.coordinator,
            };
            self.links.send(&message::Message::Relay(Box::new(part)), addr).await;
        }
        self.carry_out(relay.order, relay.coordinator).await;
    }

    async fn carry_out(&mut self, order: rank_adapter::RankOrder, from: SocketAddr) {
        if !self.leadership.observe_number(order.number) {
            return;
        }
        let outdated = self.rank.order(&order).await;
        if outdated && self.leadership.is_coordinator {
            self.step_down("the rank has seen a higher number");
            self.leadership.is_coordinator = false;
        }
        self.tell_state(from, false).await;
    }

    async fn tell_state(&mut self, to: SocketAddr, wants_counts: bool) {
        if let Some(state) = self.read_state(wants_counts).await {
            self.links.send(&message::Message::State(Box::new(state)), to).await;
        }
    }

    async fn read_state(&mut self, wants_counts: bool) -> Option<message::State> {
        match self.rank.state(self.leadership.number, wants_counts).await {
            Ok(state) => {
                self.membership = Some(state.membership.clone());
                self.is_held = state.view.held.is_some();
                Some(state)
            }
            Err(e) => {
                warn!(self.log, "state of the rank not known"; "error" => %e);
                None
            }
        }
    }

    fn step_down(&mut self, cause: &str) {
        if let Some(coordinator) = self.coordinator.take() {
            info!(self.log, "no longer coordinating"; "number" => coordinator.number(), "cause" => cause);
        }
    }

    async fn tick(&mut self) -> Duration {
        let now = boot_clock::now();
        if self.membership.is_none() && self.read_state(false).await.is_none() {
            return LEASE_PAUSE;
        }
        let Some(membership) = self.membership.clone() else {
            return WATCH;
        };
        let silence = now.since(self.heard);
        match self
            .leadership
            .role(membership.rank, silence, self.is_held || self.leads_busily)
        {
            leadership::Role::Follower => WATCH,
            leadership::Role::Candidate if now < self.lease_pause => WATCH,
            leadership::Role::Candidate => {
                self.stand(&membership).await;
                BUSY
            }
            leadership::Role::Coordinator => self.lead(&membership, now).await,
        }
    }

    /// Takes a number from the table. With the table out of reach, finishes what a lost coordinator left under its
    /// number.
    async fn stand(&mut self, membership: &rank_adapter::Membership) {
        let taken = self.leases.take_number(&membership.group).await;
        let now = boot_clock::now();
        match taken {
            Ok(number) => {
                self.leadership.claim_number(number);
                self.heard = now;
                self.begin(membership, number, true, now);
            }
            Err(e) => {
                self.lease_pause = now + LEASE_PAUSE;
                warn!(self.log, "number not taken"; "group" => membership.group.as_ref(), "error" => %e);
                if self.is_held && self.coordinator.is_none() {
                    self.begin(membership, self.leadership.number, false, now);
                }
            }
        }
        if let Some(coordinator) = &self.coordinator {
            let lead = Self::lead_message(coordinator, now);
            self.links.send_to_all(&lead).await;
        }
    }

    fn begin(&mut self, membership: &rank_adapter::Membership, number: u64, plans: bool, now: Time) {
        let mut coordinator = coordinator::Coordinator::new(membership, number, plans, now, self.log.clone());
        coordinator.succeed(self.announced);
        self.coordinator = Some(coordinator);
    }

    async fn lead(&mut self, membership: &rank_adapter::Membership, now: Time) -> Duration {
        if self.coordinator.as_ref().is_none_or(|c| c.group() != &membership.group) {
            let number = self.leadership.number;
            self.begin(membership, number, true, now);
        }
        if self.sizes.is_none() && now >= self.lease_pause {
            self.lease_pause = now + LEASE_PAUSE;
            self.learn_sizes().await;
        }
        let sizes = self.sizes;
        let Some(coordinator) = &mut self.coordinator else {
            return WATCH;
        };
        coordinator.size(sizes);
        let busy = coordinator.is_busy() || coordinator.is_settling();
        let Some(coordinator) = &self.coordinator else {
            return WATCH;
        };
        let lead = Self::lead_message(coordinator, now);
        self.links.send_to_all(&lead).await;
        let missing = self.links.whereabouts().filter(|w| coordinator.lacks(*w, now));
        let missing: Vec<SocketAddr> = missing.map(|w| w.rank).collect();
        for addr in missing {
            self.ask_directly(addr, None);
        }
        self.give_orders(now).await;
        if busy {
            BUSY.max(BUSY_PER_RANK * membership.size)
        } else {
            REST.max(REST_PER_RANK * membership.size)
        }
    }

    fn lead_message(coordinator: &coordinator::Coordinator, now: Time) -> message::Message {
        message::Message::Lead(message::Lead {
            group: Arc::clone(coordinator.group()),
            number: coordinator.number(),
            rank: coordinator.own_rank() as u32,
            holds: coordinator.ordered_hold(),
            is_busy: coordinator.is_busy(),
            wants_counts: coordinator.wants_counts(now),
        })
    }

    async fn give_orders(&mut self, now: Time) {
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let orders = coordinator.orders(now);
        let addressed = orders.into_iter().map(|o| (coordinator.via(o.pending.rank), o));
        let addressed: Vec<(Option<coordinator::Via>, rank_adapter::RankOrder)> = addressed.collect();
        let holds = addressed
            .iter()
            .any(|(_, order)| matches!(order.pending.order, held_switch::Order::Hold(_)));
        if holds {
            let lead = Self::lead_message(coordinator, now);
            self.links.send_to_all(&lead).await;
        }
        let mut maps = Vec::new();
        for (via, order) in addressed {
            // The giver of a hold and the rank that takes it are on two instances, so that one of them can be lost.
            let via = if matches!(order.pending.order, held_switch::Order::Hold(_)) {
                via.map(|via| self.links.direct(via))
            } else {
                via
            };
            match via {
                Some(coordinator::Via::Agent(addr)) if order.map.is_some() => maps.push((addr, order)),
                Some(coordinator::Via::Agent(addr)) => {
                    self.links.send(&message::Message::Order(Box::new(order)), addr).await;
                }
                Some(coordinator::Via::Rank(addr)) => self.ask_directly(addr, Some(order)),
                None => {}
            }
        }
        self.links.spread(maps).await;
    }

    /// Asks a rank whose agent does not answer, after giving it an order if there is one.
    fn ask_directly(&mut self, addr: SocketAddr, order: Option<rank_adapter::RankOrder>) {
        if order.is_none() {
            if self.asked.contains(&addr) || self.asked.len() >= MAX_ASKED {
                return;
            }
            self.asked.push(addr);
        }
        let mut rank = rank::Rank::new(addr, self.rank_adapter, self.log.clone());
        let (number, tx, log) = (self.leadership.number, self.direct_tx.clone(), self.log.clone());
        tokio::task::spawn_local(async move {
            let outdated = match &order {
                Some(order) => rank.order(order).await,
                None => false,
            };
            let state = match rank.state(number, false).await {
                Ok(state) => Some(state),
                Err(e) => {
                    warn!(log, "state of a rank without an agent not known"; "rank" => %addr, "error" => %e);
                    None
                }
            };
            // The agent's loop lives as long as the process.
            let _taken = tx.send(Direct { addr, state, outdated }).await;
        });
    }

    async fn take_direct(&mut self, direct: Direct) {
        self.asked.retain(|a| *a != direct.addr);
        if direct.outdated && self.leadership.is_coordinator {
            self.leadership.is_coordinator = false;
            self.step_down("a rank has seen a higher number");
        }
        let now = boot_clock::now();
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        if let Some(state) = direct.state {
            coordinator.take(state, coordinator::Via::Rank(direct.addr), now);
            self.give_orders(now).await;
        }
    }
}
