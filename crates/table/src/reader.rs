//! Reads of the table's rows and changes.

use std::net::SocketAddr;
use std::time::Duration;

use sycamorestile_core::direct::{poll_schedule, poll_timing};
use thiserror::Error;

use crate::adapter;
use crate::client;
use crate::era;

/// Error of a read.
#[derive(Debug, Error)]
pub(crate) enum ReadError {
    /// The table no longer has the history after the version.
    #[error("the table has no history after this version")]
    HistoryLost,
    /// The request failed.
    #[error(transparent)]
    Call(client::CallError),
    /// The response could not be decoded.
    #[error(transparent)]
    Decode(#[from] adapter::DecodeError),
}

impl ReadError {
    /// Returns what the failure of a read that asked the table for `wait` says of the table.
    pub(crate) fn kind(&self, wait: Duration) -> poll_schedule::ReadFailure {
        match self {
            Self::Call(client::CallError::TimedOut) if !wait.is_zero() => poll_schedule::ReadFailure::LostPoll,
            Self::Call(_) => poll_schedule::ReadFailure::Failed,
            Self::HistoryLost | Self::Decode(_) => poll_schedule::ReadFailure::Undecodable,
        }
    }
}

/// Reads rows and changes over one connection.
#[derive(Debug)]
pub struct Reader {
    adapter: adapter::TableAdapter,
    client: client::Client,
    eras: era::EraWatch,
}

impl Reader {
    /// Creates a reader of the table at `addr`, which connects on the first read and tells `eras` what it sees.
    pub fn new(addr: SocketAddr, adapter: adapter::TableAdapter, eras: era::EraWatch) -> Self {
        Self {
            adapter,
            client: client::Client::new(addr),
            eras,
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.client.addr()
    }

    pub(crate) fn eras(&self) -> &era::EraWatch {
        &self.eras
    }

    /// Reads all rows of `topic`. The version and the era are those of the first page, so that changes between two pages
    /// are not missed.
    pub(crate) async fn read_all(
        &mut self,
        topic: adapter::Topic,
    ) -> Result<(adapter::RowPage, Option<era::Era>), ReadError> {
        let path = (self.adapter.read_path)(topic, None);
        let (mut all, era) = self.read_page(&path, poll_timing::CALL_TIMEOUT).await?;
        while all.has_more
            && let Some(last) = all.rows.last()
        {
            let path = (self.adapter.read_path)(topic, Some(&last.key));
            let (page, _) = self.read_page(&path, poll_timing::CALL_TIMEOUT).await?;
            all.has_more = page.has_more && !page.rows.is_empty();
            all.rows.extend(page.rows);
        }
        Ok((all, era))
    }

    /// Reads the changes of `topic` after version `after`, and waits for up to `wait` until there are any.
    pub(crate) async fn read_changes(
        &mut self,
        topic: adapter::Topic,
        after: u64,
        wait: Duration,
    ) -> Result<(adapter::RowPage, Option<era::Era>), ReadError> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let path = (self.adapter.follow_path)(topic, after, wait_ms);
        self.read_page(&path, wait + poll_timing::CALL_TIMEOUT).await
    }

    async fn read_page(
        &mut self,
        path: &str,
        timeout: Duration,
    ) -> Result<(adapter::RowPage, Option<era::Era>), ReadError> {
        let response = self.client.get(path, timeout).await.map_err(|e| match e {
            client::CallError::ErrorStatus(status) if status.as_u16() == self.adapter.history_lost_status => {
                ReadError::HistoryLost
            }
            e => ReadError::Call(e),
        })?;
        let era = (self.adapter.read_era)(&response.headers);
        self.eras.observe(era);
        Ok(((self.adapter.decode_page)(&response.body)?, era))
    }
}
