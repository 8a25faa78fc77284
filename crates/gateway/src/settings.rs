//! Settings of a gateway.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sycamorestile_core::direct::retry_share;
use thiserror::Error;

/// Why settings can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A setting without a default is missing.
    #[error("the setting {0} is missing")]
    Missing(&'static str),
    /// A duration must be longer than nothing.
    #[error("the setting {0} must be longer than nothing")]
    Zero(&'static str),
}

/// Settings of a gateway, made by [`SettingsBuilder`].
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of this instance; its peers know it by this name.
    pub instance: Arc<str>,
    /// Failure domain of this instance.
    pub failure_domain: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness, health and metrics.
    pub monitoring: SocketAddr,
    /// Address for peers' datagrams.
    pub peers: SocketAddr,
    /// Address of the platform's table.
    pub table: SocketAddr,
    /// Time within which a revoked key stops being honoured.
    pub revocation_limit: Duration,
    /// Time from the order to stop until the process is killed.
    pub stop_grace: Duration,
    /// Budget of repeated sends, over all instances.
    pub retry_limit: retry_share::RetryLimit,
    /// Time that work stalls which depends on an endpoint that is gone.
    pub stall_time: Duration,
}

/// Collects settings and checks them once.
#[derive(Debug, Clone)]
pub struct SettingsBuilder {
    instance: Arc<str>,
    failure_domain: Arc<str>,
    callers: Option<SocketAddr>,
    monitoring: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    table: Option<SocketAddr>,
    revocation_limit: Duration,
    stop_grace: Duration,
    retry_limit: retry_share::RetryLimit,
    stall_time: Duration,
}

impl SettingsBuilder {
    /// Settings of `instance` in `failure_domain`, everything else at its default.
    pub fn new(instance: impl Into<Arc<str>>, failure_domain: impl Into<Arc<str>>) -> Self {
        Self {
            instance: instance.into(),
            failure_domain: failure_domain.into(),
            callers: None,
            monitoring: None,
            peers: None,
            table: None,
            revocation_limit: Duration::from_secs(5),
            stop_grace: Duration::from_secs(8),
            retry_limit: retry_share::RetryLimit {
                ratio: 0.2,
                extra: 50.0,
                window: Duration::from_secs(10),
            },
            stall_time: Duration::from_millis(1_500),
        }
    }

    /// Address for callers.
    #[must_use]
    pub fn callers(mut self, addr: SocketAddr) -> Self {
        self.callers = Some(addr);
        self
    }

    /// Address for readiness, health and metrics.
    #[must_use]
    pub fn monitoring(mut self, addr: SocketAddr) -> Self {
        self.monitoring = Some(addr);
        self
    }

    /// Address for peers' datagrams; the same port at every instance.
    #[must_use]
    pub fn peers(mut self, addr: SocketAddr) -> Self {
        self.peers = Some(addr);
        self
    }

    /// Address of the platform's table.
    #[must_use]
    pub fn table(mut self, addr: SocketAddr) -> Self {
        self.table = Some(addr);
        self
    }

    /// Time within which a revoked key stops being honoured.
    #[must_use]
    pub fn revocation_limit(mut self, bound: Duration) -> Self {
        self.revocation_limit = bound;
        self
    }

    /// Time from the order to stop until the process is killed.
    #[must_use]
    pub fn stop_grace(mut self, grace: Duration) -> Self {
        self.stop_grace = grace;
        self
    }

    /// Budget of repeated sends, over all instances.
    #[must_use]
    pub fn retry_limit(mut self, bound: retry_share::RetryLimit) -> Self {
        self.retry_limit = bound;
        self
    }

    /// Time that work stalls which depends on an endpoint that is gone.
    #[must_use]
    pub fn stall_time(mut self, stall_time: Duration) -> Self {
        self.stall_time = stall_time;
        self
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first setting that is missing or of no use.
    pub fn build(self) -> Result<Settings, SettingsError> {
        let callers = self.callers.ok_or(SettingsError::Missing("callers"))?;
        let nonzero = |what, span: Duration| {
            if span.is_zero() {
                Err(SettingsError::Zero(what))
            } else {
                Ok(span)
            }
        };
        Ok(Settings {
            instance: self.instance,
            failure_domain: self.failure_domain,
            callers,
            monitoring: self.monitoring.ok_or(SettingsError::Missing("pages"))?,
            peers: self.peers.unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
            table: self.table.ok_or(SettingsError::Missing("table"))?,
            revocation_limit: nonzero("revocation", self.revocation_limit)?,
            stop_grace: nonzero("stop_grace", self.stop_grace)?,
            retry_limit: self.retry_limit,
            stall_time: nonzero("stall", self.stall_time)?,
        })
    }
}
