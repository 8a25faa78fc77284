//! The row that the agent beside a rank keeps in the platform's table.
//!
//! Agents find each other by these rows, and gateways learn from them which ranks are slow.

use std::net::SocketAddr;

/// Slowness of a rank of normal speed, in percent.
pub const NORMAL_SLOWNESS: u32 = 100;

/// Addresses of an agent and its rank, and the rank's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankRow {
    /// UDP address of the agent.
    pub agent: SocketAddr,
    /// Address of the rank.
    pub rank: SocketAddr,
    /// Time that the rank takes for the same work relative to a normal rank, in percent.
    pub slowness_percent: u32,
}

impl RankRow {
    /// Formats the value of the row. A normal speed is left out.
    pub fn to_text(self) -> String {
        let Self {
            agent,
            rank,
            slowness_percent,
        } = self;
        if slowness_percent == NORMAL_SLOWNESS {
            format!("{agent} {rank}")
        } else {
            format!("{agent} {rank} {slowness_percent}")
        }
    }

    /// Parses the value of a row. Returns `None` if it is not valid.
    pub fn parse(text: &str) -> Option<Self> {
        let mut words = text.split(' ');
        let agent = words.next()?.parse().ok()?;
        let rank = words.next()?.parse().ok()?;
        let slowness_percent = match words.next() {
            Some(word) => word.parse().ok()?,
            None => NORMAL_SLOWNESS,
        };
        words.next().is_none().then_some(Self {
            agent,
            rank,
            slowness_percent,
        })
    }
}
