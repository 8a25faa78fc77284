//! Paces the exchange of facts between instances.
//!
//! Load condition addressed: hundreds of instances that must all learn of a fact within seconds, while control traffic
//! is limited to a few kilobytes per second. An instance with news sends it to a few random peers in several rounds, and
//! so does each that learns it. Between news, it sends to one peer at a time, so that instances that missed the news
//! learn it later.

use std::time::Duration;

use crate::time;

/// Interval between rounds while there is news.
const NEWS_INTERVAL: Duration = Duration::from_millis(200);
/// Number of peers that each of these rounds sends to.
const NEWS_FANOUT: usize = 3;
/// Time for which news is sent.
const NEWS_TIME: Duration = Duration::from_secs(2);
/// Interval between rounds, each to one peer, while there is no news.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Rate at which an instance sends rounds. It is part of the target of 9 KB/s for all control traffic.
const BYTES_PER_SECOND: f64 = 2_000.0;
/// Number of bytes that may be sent at once, which lasts for the rounds of one piece of news.
const BURST_BYTES: f64 = 20_000.0;
/// Delay of a round beyond which the process is assumed to have been suspended.
const SUSPENSION: Duration = Duration::from_secs(1);

/// The rounds of one instance.
#[derive(Debug, Clone)]
pub struct Rounds {
    /// When the next round is due.
    next: time::Time,
    /// When the last round began.
    last: time::Time,
    /// Until when there is news.
    news_until: time::Time,
    /// Number of bytes that may be sent now; negative after a round that was larger than the rest.
    allowance: f64,
}

/// What to do in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Round {
    /// Number of random peers to send to.
    pub fanout: usize,
    /// Whether to send even if there is nothing to tell, since peers reply with what they know.
    pub asks: bool,
}

impl Rounds {
    /// Creates the rounds of an instance that has just started. It asks its peers for what they know.
    pub fn new(now: time::Time) -> Self {
        Self {
            next: now,
            last: now,
            news_until: now + NEWS_TIME,
            allowance: BURST_BYTES,
        }
    }

    /// Returns when the next round is due.
    pub fn next(&self) -> time::Time {
        self.next
    }

    /// Records that something was learned, which makes the next round due at once.
    pub fn record_news(&mut self, now: time::Time) {
        self.next = now;
        self.news_until = now + NEWS_TIME;
    }

    /// Begins the round that is due.
    pub fn begin(&mut self, now: time::Time) -> Round {
        if now.since(self.next) > SUSPENSION {
            self.news_until = now + NEWS_TIME;
        }
        let gained = BYTES_PER_SECOND * now.since(self.last).as_secs_f64();
        self.allowance = (self.allowance + gained).min(BURST_BYTES);
        let has_news = now < self.news_until;
        self.last = now;
        self.next = now + if has_news { NEWS_INTERVAL } else { IDLE_INTERVAL };
        let fanout = if has_news { NEWS_FANOUT } else { 1 };
        Round {
            fanout: if self.allowance > 0.0 { fanout } else { 0 },
            asks: has_news,
        }
    }

    /// Records the number of bytes that a round sent.
    pub fn record_sent(&mut self, bytes: usize) {
        self.allowance -= bytes as f64;
    }
}
