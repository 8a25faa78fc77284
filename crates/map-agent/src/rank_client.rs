//! Client of a rank's control endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, info, warn};
use sycamorestile_expert_map::held_switch;
use sycamorestile_table::{adapter, client};
use thiserror::Error;

use crate::message;
use crate::rank_adapter;

/// Timeout of reading from a rank, which is usually on the same instance.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of an order. A rank responds within a few milliseconds or not at all. An order without a response may still
/// be executed.
const ORDER_TIMEOUT: Duration = Duration::from_millis(25);
/// Number of attempts to send an order that gets no response. A duplicate is refused or finds the rank already in the
/// ordered state.
const ORDER_ATTEMPTS: usize = 4;

/// Error of reading a rank's status.
#[derive(Debug, Error)]
pub(crate) enum RankError {
    /// The request failed.
    #[error(transparent)]
    Call(#[from] client::CallError),
    /// The response could not be decoded.
    #[error(transparent)]
    Decode(#[from] adapter::DecodeError),
    /// The response can't be that of a sound rank.
    #[error("implausible report: {0}")]
    Implausible(#[from] rank_adapter::ImplausibleReport),
    /// The rank is in no group.
    #[error("the rank is in no group")]
    NoGroup,
}

/// Client of one rank.
pub(crate) struct RankClient {
    client: client::Client,
    adapter: rank_adapter::RankAdapter,
    /// Epoch and map version of `experts`.
    experts_key: Option<(u64, u64)>,
    experts: Vec<Vec<u32>>,
    log: Logger,
}

impl RankClient {
    pub(crate) fn new(addr: SocketAddr, adapter: rank_adapter::RankAdapter, log: Logger) -> Self {
        Self {
            client: client::Client::new(addr),
            adapter,
            experts_key: None,
            experts: Vec::new(),
            log,
        }
    }

    /// Reads the rank's status. Its experts are read only when the active map has changed.
    pub(crate) async fn read_status(
        &mut self,
        number: u64,
        wants_counts: bool,
    ) -> Result<message::RankStatus, RankError> {
        let body = self.client.get(self.adapter.report_path, CALL_TIMEOUT).await?.body;
        let report = (self.adapter.decode_report)(&body)?;
        report.check()?;
        let membership = report.membership.ok_or(RankError::NoGroup)?;
        let key = (report.view.epoch, report.view.in_force);
        if self.experts_key != Some(key) {
            let body = self.client.get(self.adapter.map_path, CALL_TIMEOUT).await?.body;
            self.experts = (self.adapter.decode_map)(&body)?;
            self.experts_key = Some(key);
            info!(self.log, "read the rank's map"; "epoch" => key.0, "version" => key.1, "pass" => report.view.pass);
        }
        let counts = if wants_counts {
            let body = self.client.get(self.adapter.counts_path, CALL_TIMEOUT).await?.body;
            (self.adapter.decode_counts)(&body)?
        } else {
            Vec::new()
        };
        Ok(message::RankStatus {
            membership,
            view: report.view,
            experts: self.experts.clone(),
            slowness: report.slowness,
            started_at_ms: report.started_at_ms,
            counts,
            number,
        })
    }

    /// Sends an order to the rank. Returns whether the rank refused it because it has seen a higher leadership number.
    pub(crate) async fn send_order(&mut self, order: &rank_adapter::RankOrder) -> bool {
        let body = (self.adapter.encode_order)(order);
        let mut result = self
            .client
            .post(self.adapter.order_path, body.clone(), ORDER_TIMEOUT)
            .await;
        for _ in 1..ORDER_ATTEMPTS {
            if !matches!(result, Err(client::CallError::TimedOut)) {
                break;
            }
            result = self
                .client
                .post(self.adapter.order_path, body.clone(), ORDER_TIMEOUT)
                .await;
        }
        let is_outdated =
            matches!(&result, Err(client::CallError::ErrorStatus(s)) if s.as_u16() == self.adapter.outdated_status);
        let outcome = result.err().map_or_else(|| "accepted".to_owned(), |e| e.to_string());
        let held_switch::PendingOrder {
            rank,
            order: body,
            epoch,
            sequence,
        } = order.pending;
        let text = format!("{body:?}");
        if outcome == "accepted" {
            info!(self.log, "order accepted by the rank"; "order" => text, "rank" => rank, "epoch" => epoch,
                "sequence" => sequence, "number" => order.number);
        } else {
            warn!(self.log, "order not accepted by the rank"; "order" => text, "rank" => rank, "epoch" => epoch,
                "sequence" => sequence, "number" => order.number, "outcome" => outcome);
        }
        is_outdated
    }
}
