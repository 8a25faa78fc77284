//! Shared test support: processes, a small deployment of them and a caller.

pub(crate) mod caller;
pub(crate) mod cluster;
pub(crate) mod deployment_limit;
pub(crate) mod process;
pub(crate) mod raw_endpoint;
pub(crate) mod stop_guard;
pub(crate) mod wait;
