//! Registration of metrics.

use prometheus_client::registry::{Metric, Registry};

/// Registers `metric`.
pub(crate) fn registered<M>(registry: &mut Registry, name: &str, help: &str, metric: M) -> M
where
    M: Metric + Clone,
{
    registry.register(name, help, metric.clone());
    metric
}

/// Registers a new metric.
pub(crate) fn new<M>(registry: &mut Registry, name: &str, help: &str) -> M
where
    M: Metric + Clone + Default,
{
    registered(registry, name, help, M::default())
}
