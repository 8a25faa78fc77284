//! This machine's rank.

use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_expert_map::held_switch;
use sycamorestile_table::{client, port};
use thiserror::Error;

use crate::message;
use crate::rank_port;

/// Time-out of a question to the rank beside this process.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Time-out of an order to it, which is answered within a few milliseconds or not at all. An order without an answer may
/// still be carried out.
const ORDER_TIMEOUT: Duration = Duration::from_millis(25);
/// Times that an order without an answer is given in a row. Doubles are refused or find the state as ordered.
const ORDER_TRIES: usize = 4;

/// Why the rank's state is not known.
#[derive(Debug, Error)]
pub(crate) enum RankError {
    /// The rank did not answer.
    #[error(transparent)]
    Call(#[from] client::CallError),
    /// Its answer can't be read.
    #[error(transparent)]
    Unreadable(#[from] port::Unreadable),
    /// It is in no group.
    #[error("the rank is in no group")]
    NoGroup,
}

/// Calls to this machine's rank.
pub(crate) struct Rank {
    calls: client::Client,
    port: rank_port::RankPort,
    /// Epoch and version that `experts` belongs to.
    experts_of: Option<(u64, u64)>,
    experts: Vec<Vec<u32>>,
    log: Logger,
}

impl Rank {
    pub(crate) fn new(addr: SocketAddr, port: rank_port::RankPort, log: Logger) -> Self {
        Self {
            calls: client::Client::new(addr),
            port,
            experts_of: None,
            experts: Vec::new(),
            log,
        }
    }

    /// Reads the rank's state.
    pub(crate) async fn state(&mut self, number: u64, wants_counts: bool) -> Result<message::State, RankError> {
        let body = self.calls.get(self.port.report_path, CALL_TIMEOUT).await?;
        let report = (self.port.report)(&body)?;
        let membership = report.membership.ok_or(RankError::NoGroup)?;
        let key = (report.view.epoch, report.view.in_force);
        if self.experts_of != Some(key) {
            let body = self.calls.get(self.port.map_path, CALL_TIMEOUT).await?;
            self.experts = (self.port.map)(&body)?;
            self.experts_of = Some(key);
            info!(self.log, "map of the rank"; "epoch" => key.0, "version" => key.1, "pass" => report.view.pass);
        }
        let counts = if wants_counts {
            let body = self.calls.get(self.port.counts_path, CALL_TIMEOUT).await?;
            (self.port.counts)(&body)?
        } else {
            Vec::new()
        };
        Ok(message::State {
            membership,
            view: report.view,
            experts: self.experts.clone(),
            slowness: report.slowness,
            born: report.born,
            counts,
            number,
        })
    }

    /// Gives the rank an order. Gives back whether a higher number was seen there.
    pub(crate) async fn order(&mut self, order: &rank_port::RankOrder) -> bool {
        let body = (self.port.order)(order);
        let mut result = self.calls.post(self.port.order_path, body.clone(), ORDER_TIMEOUT).await;
        for _ in 1..ORDER_TRIES {
            if !matches!(result, Err(client::CallError::Silent)) {
                break;
            }
            result = self.calls.post(self.port.order_path, body.clone(), ORDER_TIMEOUT).await;
        }
        let outdated = matches!(&result, Err(client::CallError::Refused(s)) if s.as_u16() == self.port.outdated);
        let outcome = result.err().map_or_else(|| "accepted".to_owned(), |e| e.to_string());
        let held_switch::PendingOrder {
            rank,
            order: body,
            epoch,
            sequence,
        } = order.due;
        let text = format!("{body:?}");
        if outcome == "accepted" {
            info!(self.log, "order carried out"; "order" => text, "rank" => rank, "epoch" => epoch, "sequence" => sequence, "number" => order.number);
        } else {
            warn!(self.log, "order not accepted"; "order" => text, "rank" => rank, "epoch" => epoch, "sequence" => sequence, "number" => order.number, "outcome" => outcome);
        }
        outdated
    }
}
