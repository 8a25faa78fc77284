//! Settings of a gateway.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sycamorestile_core::direct::retry_share;
use thiserror::Error;

/// The reason why settings are invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A setting that has no default is missing.
    #[error("the setting {0} is missing")]
    Missing(&'static str),
    /// A duration is zero.
    #[error("the setting {0} must be greater than zero")]
    Zero(&'static str),
}

/// The settings of a gateway. Use [`SettingsBuilder`] to create them.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of this instance, by which its peers identify it.
    pub instance: Arc<str>,
    /// The failure domain of this instance.
    pub failure_domain: Arc<str>,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for readiness, health and metrics.
    pub monitoring: SocketAddr,
    /// The address for datagrams of peers.
    pub peers: SocketAddr,
    /// The address of the platform's table.
    pub table: SocketAddr,
    /// The longest time for which a revoked key may still be accepted.
    pub revocation_limit: Duration,
    /// The time within which an endpoint that leaves gets no more requests, once the table holds that.
    pub drain_limit: Duration,
    /// The time within which new declarations are in force, once the table holds them.
    pub change_limit: Duration,
    /// The time from the signal to stop until the platform kills the process.
    pub stop_grace: Duration,
    /// The retry budget over all instances.
    pub retry_limit: retry_share::RetryLimit,
    /// How long requests to a group stall after one of its endpoints is lost.
    pub stall_time: Duration,
    /// Whether the whole system starts for the first time with this process. Instances that are added later, and processes
    /// that start again, don't.
    pub is_system_start: bool,
}

/// A builder of [`Settings`].
#[derive(Debug, Clone)]
pub struct SettingsBuilder {
    instance: Arc<str>,
    failure_domain: Arc<str>,
    callers: Option<SocketAddr>,
    monitoring: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    table: Option<SocketAddr>,
    revocation_limit: Duration,
    drain_limit: Duration,
    change_limit: Duration,
    stop_grace: Duration,
    retry_limit: retry_share::RetryLimit,
    stall_time: Duration,
    is_system_start: bool,
}

impl SettingsBuilder {
    /// Returns a builder for the gateway `instance` in `failure_domain`, with all other settings at their defaults.
    pub fn new(instance: impl Into<Arc<str>>, failure_domain: impl Into<Arc<str>>) -> Self {
        Self {
            instance: instance.into(),
            failure_domain: failure_domain.into(),
            callers: None,
            monitoring: None,
            peers: None,
            table: None,
            revocation_limit: Duration::from_secs(5),
            drain_limit: Duration::from_secs(2),
            change_limit: Duration::from_secs(2),
            stop_grace: Duration::from_secs(8),
            retry_limit: retry_share::RetryLimit {
                ratio: 0.2,
                extra: 50.0,
                window: Duration::from_secs(10),
            },
            stall_time: Duration::from_millis(1_500),
            is_system_start: false,
        }
    }

    /// Sets the address for callers.
    #[must_use]
    pub fn callers(mut self, addr: SocketAddr) -> Self {
        self.callers = Some(addr);
        self
    }

    /// Sets the address for readiness, health and metrics.
    #[must_use]
    pub fn monitoring(mut self, addr: SocketAddr) -> Self {
        self.monitoring = Some(addr);
        self
    }

    /// Sets the address for datagrams of peers. The port is the same at every instance.
    #[must_use]
    pub fn peers(mut self, addr: SocketAddr) -> Self {
        self.peers = Some(addr);
        self
    }

    /// Sets the address of the platform's table.
    #[must_use]
    pub fn table(mut self, addr: SocketAddr) -> Self {
        self.table = Some(addr);
        self
    }

    /// Sets the longest time for which a revoked key may still be accepted. The default is 5 s.
    #[must_use]
    pub fn revocation_limit(mut self, limit: Duration) -> Self {
        self.revocation_limit = limit;
        self
    }

    /// Sets the time within which an endpoint that leaves gets no more requests. The default is 2 s.
    #[must_use]
    pub fn drain_limit(mut self, limit: Duration) -> Self {
        self.drain_limit = limit;
        self
    }

    /// Sets the time within which new declarations are in force. The default is 2 s.
    #[must_use]
    pub fn change_limit(mut self, limit: Duration) -> Self {
        self.change_limit = limit;
        self
    }

    /// Sets the time from the signal to stop until the platform kills the process. The default is 8 s.
    #[must_use]
    pub fn stop_grace(mut self, grace: Duration) -> Self {
        self.stop_grace = grace;
        self
    }

    /// Sets the retry budget over all instances.
    #[must_use]
    pub fn retry_limit(mut self, limit: retry_share::RetryLimit) -> Self {
        self.retry_limit = limit;
        self
    }

    /// Sets how long requests to a group stall after one of its endpoints is lost. The default is 1.5 s.
    #[must_use]
    pub fn stall_time(mut self, stall_time: Duration) -> Self {
        self.stall_time = stall_time;
        self
    }

    /// Sets whether the whole system starts for the first time with this process. The default is `false`.
    #[must_use]
    pub fn is_system_start(mut self, is_system_start: bool) -> Self {
        self.is_system_start = is_system_start;
        self
    }

    /// Checks the settings and returns them.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] for the first setting that is missing or zero.
    pub fn build(self) -> Result<Settings, SettingsError> {
        let callers = self.callers.ok_or(SettingsError::Missing("callers"))?;
        let nonzero = |name, duration: Duration| {
            if duration.is_zero() {
                Err(SettingsError::Zero(name))
            } else {
                Ok(duration)
            }
        };
        Ok(Settings {
            instance: self.instance,
            failure_domain: self.failure_domain,
            callers,
            monitoring: self.monitoring.ok_or(SettingsError::Missing("monitoring"))?,
            peers: self.peers.unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
            table: self.table.ok_or(SettingsError::Missing("table"))?,
            revocation_limit: nonzero("revocation_limit", self.revocation_limit)?,
            drain_limit: nonzero("drain_limit", self.drain_limit)?,
            change_limit: nonzero("change_limit", self.change_limit)?,
            stop_grace: nonzero("stop_grace", self.stop_grace)?,
            retry_limit: self.retry_limit,
            stall_time: nonzero("stall_time", self.stall_time)?,
            is_system_start: self.is_system_start,
        })
    }
}
