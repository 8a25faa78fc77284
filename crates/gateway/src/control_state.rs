//! What the control thread knows, and how events of the feeds and reads of peers change it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_core::direct::{accepted_versions, confirmation, endpoint, endpoint_set, freshness, topic_relay};
use sycamorestile_core::time;
use sycamorestile_table::{adapter, availability, boot_clock, era, feed, feed_event, rank_row};

use crate::peer_read;
use crate::settings;
use crate::snapshot;
use crate::topics;

/// The state of the control thread.
pub(crate) struct ControlState {
    /// The name of this gateway's instance.
    instance: Arc<str>,
    /// Addresses of the system itself, which are not those of endpoints.
    own_addrs: Vec<SocketAddr>,
    adapter: adapter::TableAdapter,
    /// The newest era of the table that any feed or peer has shown.
    eras: era::EraWatch,
    endpoint_set: endpoint_set::EndpointSet,
    /// The rows of slow ranks, by the instance of their agents.
    slow_ranks: Vec<(Arc<str>, rank_row::RankRow)>,
    snapshot: snapshot::Snapshot,
    /// The times at which this gateway and its peers read the declarations.
    confirmations: confirmation::ConfirmationWatch,
    /// The versions of the declarations that peers have accepted.
    accepted: accepted_versions::AcceptedVersions,
    /// The interval at which a reader reads the declarations.
    reader_interval: Duration,
    /// What this gateway and its peers have read of the endpoints.
    endpoint_relay: topic_relay::TopicRelay,
    /// The interval at which a reader reads the endpoints.
    endpoint_interval: Duration,
    /// The newest versions of declarations and endpoints, with their eras, of which peers were told at once.
    told: [Option<(Option<u64>, u64)>; 2],
    availability: availability::AvailabilityWatch,
    feeds: Feeds,
    /// Whether the newest declarations could not be decoded, so that the active ones are older.
    newest_undecodable: bool,
    /// Whether the last read of the rows of gateways succeeded.
    can_read_gateways: bool,
    /// Whether this gateway was a reader at the last check.
    is_reader: bool,
    log: Logger,
}

/// The feeds that the control thread adjusts.
pub(crate) struct Feeds {
    pub(crate) declarations: feed::FeedControl,
    pub(crate) endpoints: feed::FeedControl,
}

impl ControlState {
    pub(crate) fn new(
        settings: &settings::Settings,
        adapter: adapter::TableAdapter,
        eras: era::EraWatch,
        availability: availability::AvailabilityWatch,
        feeds: Feeds,
        log: Logger,
    ) -> Self {
        let reader_interval = topics::declarations_interval(settings);
        let endpoint_interval = topics::endpoints_timing(settings).max_wait();
        Self {
            instance: Arc::clone(&settings.instance),
            own_addrs: vec![settings.callers, settings.monitoring, settings.table],
            confirmations: confirmation::ConfirmationWatch::new(Arc::clone(&settings.instance), reader_interval),
            accepted: accepted_versions::AcceptedVersions::default(),
            reader_interval,
            endpoint_relay: topic_relay::TopicRelay::new(Arc::clone(&settings.instance), endpoint_interval),
            endpoint_interval,
            told: [None; 2],
            availability,
            feeds,
            newest_undecodable: false,
            can_read_gateways: true,
            is_reader: true,
            adapter,
            eras,
            endpoint_set: endpoint_set::EndpointSet::default(),
            slow_ranks: Vec::new(),
            snapshot: snapshot::Snapshot::default(),
            log,
        }
    }

    /// Returns what the traffic thread needs to know.
    pub(crate) fn snapshot(&self) -> snapshot::Snapshot {
        snapshot::Snapshot {
            era: self.eras.newest(),
            endpoints_confirmed_at: self.endpoint_relay.confirmed_at(),
            asks_until: self.accepted.asks_until(),
            is_starting: !self.accepted.may_rely(boot_clock::now()),
            ..self.snapshot.clone()
        }
    }

    /// Returns when [`Self::expire_endpoints`] next has an endpoint to remove.
    pub(crate) fn next_expiry(&self) -> Option<time::Time> {
        self.endpoint_set.next_expiry()
    }

    /// Returns whether peers rely on this gateway to tell them at once of what has changed since the last call.
    pub(crate) fn take_news(&mut self) -> bool {
        let now = boot_clock::now();
        let is_reader = [self.confirmations.is_reader(now), self.endpoint_relay.is_reader(now)];
        let own = [self.snapshot.own_read, self.snapshot.own_endpoint_read];
        let newest = own.map(|read| read.map(|read| (read.era, read.version)));
        let former = std::mem::replace(&mut self.told, newest);
        (0..2).any(|topic| is_reader[topic] && newest[topic] != former[topic])
    }

    /// Applies an event of the table's feed.
    pub(crate) fn apply_feed_event(&mut self, topic: adapter::Topic, event: feed_event::FeedEvent) {
        let now = boot_clock::now();
        match (topic, event) {
            (adapter::Topic::Gateways, feed_event::FeedEvent::Unavailable) => self.can_read_gateways = false,
            (adapter::Topic::Gateways, feed_event::FeedEvent::Recovered) => self.can_read_gateways = true,
            (
                adapter::Topic::Declarations,
                feed_event::FeedEvent::Snapshot { read, rows, .. } | feed_event::FeedEvent::Changes { read, rows },
            ) => {
                self.apply_declarations(&read, &rows);
            }
            (
                adapter::Topic::Endpoints,
                feed_event::FeedEvent::Snapshot {
                    read,
                    rows,
                    is_restored,
                },
            ) => {
                self.record_endpoint_read(read);
                if is_restored {
                    self.endpoint_set.table_returned(now);
                }
                let entries = rows.iter().filter_map(|row| self.decode_endpoint(row)).collect();
                self.endpoint_set.replace(entries, now);
                self.snapshot.endpoints_known = true;
                self.publish_endpoints("full read");
            }
            (adapter::Topic::Endpoints, feed_event::FeedEvent::Changes { read, rows }) => {
                self.record_endpoint_read(read);
                for row in &rows {
                    self.apply_endpoint_row(row, now);
                }
                if !rows.is_empty() {
                    self.publish_endpoints("changes");
                }
            }
            (adapter::Topic::Gateways, feed_event::FeedEvent::Snapshot { rows, is_restored, .. }) => {
                // After a restoration, gateways write their rows again, and are known until then.
                if !is_restored {
                    let is_listed = |instance: &str| rows.iter().any(|row| row.key.as_ref() == instance);
                    Arc::make_mut(&mut self.snapshot.gateways).retain(is_listed);
                }
                let were_known = std::mem::replace(&mut self.snapshot.gateways_known, true);
                self.update_gateways(&rows);
                if !were_known {
                    info!(self.log, "gateways read"; "known" => rows.len());
                }
            }
            (adapter::Topic::Gateways, feed_event::FeedEvent::Changes { rows, .. }) => self.update_gateways(&rows),
            (adapter::Topic::MapAgents, feed_event::FeedEvent::Snapshot { rows, is_restored, .. }) => {
                if !is_restored {
                    self.slow_ranks.clear();
                }
                self.update_slow_ranks(&rows);
            }
            (adapter::Topic::MapAgents, feed_event::FeedEvent::Changes { rows, .. }) => self.update_slow_ranks(&rows),
            // The loss of the connection has no effect by itself, and a gateway does not follow the other topics.
            (_, feed_event::FeedEvent::Unavailable | feed_event::FeedEvent::Recovered)
            | (adapter::Topic::Facts | adapter::Topic::Leases, _) => {}
        }
    }

    /// Records that all changes of endpoints were read up to `read`.
    fn record_endpoint_read(&mut self, read: topic_relay::TopicRead) {
        self.update_grace();
        self.endpoint_relay.record_read(read);
        self.snapshot.own_endpoint_read = self.endpoint_relay.own_confirmation();
    }

    /// Tells the set of endpoints whether entries may be missing because they lapsed in an outage.
    fn update_grace(&mut self) {
        if self.availability.is_away() {
            self.endpoint_set.table_away();
        } else if let Some(returned_at) = self.availability.returned_at() {
            self.endpoint_set.table_returned(returned_at);
        }
    }

    /// Applies what another gateway has read.
    pub(crate) fn record_peer_read(&mut self, read: &peer_read::PeerRead) {
        let now = boot_clock::now();
        if let Some(told) = read.accepted {
            self.accepted.record_peer(&read.instance, told, now);
            self.read_once_reliable(now);
        }
        if let Some(told) = read.endpoints {
            self.eras.observe(told.era.map(era::Era));
            if let Some(version) = self.endpoint_relay.record_peer(&read.instance, &told, now) {
                let era = told.era.map(era::Era);
                self.feeds.endpoints.expect(feed::KnownChange { era, version });
            }
        }
        if let Some(told) = &read.declarations {
            self.record_peer_declarations(&read.instance, told, now);
        }
    }

    /// Reads the declarations again when those that were read may be relied on from now on, and were not confirmed yet.
    fn read_once_reliable(&mut self, now: time::Time) {
        let is_unconfirmed = self.snapshot.declared.is_some() && self.snapshot.freshness.age(now).is_none();
        if is_unconfirmed && self.accepted.may_rely(now) && self.confirmations.should_read(None, true, now) {
            self.feeds.declarations.read_now();
        }
    }

    /// Applies another gateway's read of the declarations.
    ///
    /// A read of the same version confirms the active declarations. A read of a newer version triggers a read here.
    fn record_peer_declarations(
        &mut self,
        peer: &Arc<str>,
        confirmation: &confirmation::Confirmation,
        now: time::Time,
    ) {
        // The feeds of a gateway that relies on its peers may wait for long.
        self.eras.observe(confirmation.era.map(era::Era));
        self.confirmations.record_peer(peer, confirmation.table_ms, now);
        let Some(version) = self.snapshot.declared.as_ref().map(|d| d.version) else {
            return;
        };
        if confirmation.version == version && self.accepted.newest().is_none_or(|newest| newest <= version) {
            let reading = Duration::from_millis(confirmation.table_ms);
            if let Some(as_of) = self.confirmations.to_local_time(reading, now) {
                self.snapshot.freshness.confirm(as_of);
            }
        } else if confirmation.version > version && self.confirmations.should_read(None, true, now) {
            info!(self.log, "a peer reported newer declarations; reading them"; "in_force" => version, "told" => confirmation.version, "peer" => peer.as_ref());
            self.feeds.declarations.read_now();
        }
    }

    /// Sets the waits of the feeds of declarations and endpoints, and reads at once what was not confirmed for too long.
    pub(crate) fn check_confirmation(&mut self) {
        let now = boot_clock::now();
        self.update_grace();
        let is_reader = self.confirmations.is_reader(now);
        if is_reader != self.is_reader {
            info!(self.log, "read interval of the declarations changed"; "often" => is_reader);
            self.is_reader = is_reader;
        }
        let wait = |is_reader, interval| if is_reader { interval } else { topics::RELAYED_WAIT };
        self.feeds.declarations.set_wait(wait(is_reader, self.reader_interval));
        let is_endpoint_reader = self.endpoint_relay.is_reader(now);
        self.feeds
            .endpoints
            .set_wait(wait(is_endpoint_reader, self.endpoint_interval));
        if self.availability.is_away() {
            // The feeds read as soon as it answers.
            return;
        }
        // All feeds read again after an outage.
        let since_return = self.availability.returned_at().map(|at| now.since(at));
        let age = self.snapshot.freshness.age(now);
        let age = age.map(|age| since_return.map_or(age, |since| age.min(since)));
        if age.is_some() && self.confirmations.should_read(age, false, now) {
            self.feeds.declarations.read_now();
        }
        self.read_once_reliable(now);
        if self.endpoint_relay.should_read(self.availability.returned_at(), now) {
            self.feeds.endpoints.read_now();
        }
    }

    /// Applies rows of the declarations, which are complete up to `read`.
    fn apply_declarations(&mut self, read: &topic_relay::TopicRead, rows: &[adapter::Row]) {
        let matching = rows
            .iter()
            .filter(|row| row.key.as_ref() == self.adapter.declarations_key);
        if let Some(value) = matching.filter_map(|row| row.value.as_ref()).next_back() {
            match (self.adapter.decode_declarations)(value) {
                Ok(declared) => {
                    self.newest_undecodable = false;
                    self.set_declarations(declared);
                }
                Err(e) => {
                    // The active declarations are kept but not confirmed, since keys in them may have been revoked.
                    warn!(self.log, "failed to decode the declarations"; "error" => %e);
                    self.newest_undecodable = true;
                    return;
                }
            }
        }
        if let Some(declared) = self.snapshot.declared.as_ref().filter(|_| !self.newest_undecodable) {
            if self
                .accepted
                .record_read(declared.version, read.as_of, boot_clock::now())
            {
                self.snapshot.freshness.confirm(read.as_of);
            } else if self.accepted.contradicts(declared.version, read.as_of) {
                if self.snapshot.freshness != freshness::Freshness::default() {
                    warn!(self.log, "the table holds older declarations than peers have accepted; keys are not honoured";
                        "read" => declared.version, "accepted" => self.accepted.newest());
                }
                self.snapshot.freshness.refute();
            }
            if let Some(clock) = read.clock {
                self.confirmations.record_read(read.as_of, clock);
                self.snapshot.own_read = Some(confirmation::Confirmation {
                    version: declared.version,
                    table_ms: clock.as_millis() as u64,
                    era: self.eras.newest().map(|era| era.0),
                });
            }
        }
    }

    /// Makes `declared` the active declarations unless it is older than them.
    fn set_declarations(&mut self, declared: sycamorestile_core::direct::declarations::Declarations) {
        let former = self.snapshot.declared.as_ref().map(|d| d.version);
        if former.is_some_and(|former| declared.version < former) {
            warn!(self.log, "ignored older declarations"; "in_force" => former, "read" => declared.version);
            return;
        }
        if former != Some(declared.version) {
            info!(self.log, "declarations applied"; "version" => declared.version, "former" => former, "routes" => declared.routes.len());
        }
        self.snapshot.declared = Some(Arc::new(declared));
    }

    /// Decodes the entry of an endpoint. Returns `None` if the row was removed, is invalid or names no endpoint to use.
    fn decode_endpoint(&self, row: &adapter::Row) -> Option<endpoint::Endpoint> {
        let value = row.value.as_ref()?;
        match (self.adapter.decode_endpoint)(&row.key, value) {
            Ok(entry) => match entry.check_usable(&self.own_addrs) {
                Ok(()) => return Some(entry),
                Err(e) => warn!(self.log, "skipped an endpoint entry that can't be used";
                    "endpoint" => row.key.as_ref(), "error" => %e),
            },
            Err(e) => {
                warn!(self.log, "skipped an invalid endpoint entry"; "endpoint" => row.key.as_ref(), "error" => %e);
            }
        }
        None
    }

    /// Applies a row that was written or removed. An entry that can't be decoded counts as removed.
    fn apply_endpoint_row(&mut self, row: &adapter::Row, now: time::Time) {
        if let Some(entry) = self.decode_endpoint(row) {
            self.endpoint_set.put(entry);
        } else {
            let gone = self.endpoint_set.remove(&row.key, now);
            info!(self.log, "endpoint entry removed"; "endpoint" => row.key.as_ref(), "gone" => gone, "version" => row.version);
        }
    }

    /// Removes endpoints whose entries did not reappear in time after an outage of the table.
    pub(crate) fn expire_endpoints(&mut self) {
        self.endpoint_set.expire(boot_clock::now());
        self.publish_endpoints("missing entries expired");
    }

    /// Copies the usable endpoints to the snapshot if they changed.
    fn publish_endpoints(&mut self, cause: &str) {
        let mut ready = self.endpoint_set.ready();
        for (_, row) in &self.slow_ranks {
            for endpoint in ready.iter_mut().filter(|e| e.addr == row.rank) {
                Arc::make_mut(endpoint).slowness_percent = row.slowness_percent;
            }
        }
        ready.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
        if *self.snapshot.endpoints != ready {
            info!(self.log, "usable endpoints changed"; "ready" => ready.len(), "former" => self.snapshot.endpoints.len(), "cause" => cause);
            self.snapshot.endpoints = Arc::new(ready);
        }
    }

    /// Applies rows of ranks, of which only the slow ones are kept.
    fn update_slow_ranks(&mut self, rows: &[adapter::Row]) {
        let former = self.slow_ranks.clone();
        for row in rows {
            self.slow_ranks.retain(|(instance, _)| *instance != row.key);
            let text = row.value.as_ref().and_then(|v| std::str::from_utf8(v).ok());
            if let Some(rank) = text
                .and_then(rank_row::RankRow::parse)
                .filter(|r| r.slowness_percent > rank_row::NORMAL_SLOWNESS)
            {
                info!(self.log, "a rank is slow"; "instance" => row.key.as_ref(), "rank" => %rank.rank, "percent" => rank.slowness_percent, "version" => row.version);
                self.slow_ranks.push((Arc::clone(&row.key), rank));
            }
        }
        if self.slow_ranks != former {
            self.publish_endpoints("speed of ranks");
        }
    }

    /// Applies rows of gateways to the snapshot.
    fn update_gateways(&mut self, rows: &[adapter::Row]) {
        let known = Arc::make_mut(&mut self.snapshot.gateways);
        for row in rows {
            let text = row.value.as_ref().and_then(|v| std::str::from_utf8(v).ok());
            match text.and_then(|t| t.parse().ok()) {
                Some(addr) => known.put(&row.key, addr, row.version),
                None => known.remove(&row.key),
            }
        }
        self.count_gateways();
    }

    /// Forgets the rows of gateways that were not renewed for long, if the table could be read for `elapsed` more. Returns
    /// whether there are any.
    pub(crate) fn expire_gateways(&mut self, elapsed: Duration) -> bool {
        if !self.can_read_gateways {
            return false;
        }
        let expired = Arc::make_mut(&mut self.snapshot.gateways).take_expired(elapsed);
        for row in &expired {
            info!(self.log, "a gateway's row was not renewed and counts no more";
                "instance" => row.instance.as_ref(), "addr" => %row.addr, "version" => row.version);
        }
        self.count_gateways();
        !expired.is_empty()
    }

    fn count_gateways(&mut self) {
        let rows = self.snapshot.gateways.all();
        let others = rows.iter().filter(|row| row.instance != self.instance).count();
        self.snapshot.gateway_count.record(others + 1, boot_clock::now());
        self.availability.set_sharers(others + 1);
        if self.snapshot.gateways_known {
            self.accepted.record_others(others);
            self.read_once_reliable(boot_clock::now());
        }
    }
}
