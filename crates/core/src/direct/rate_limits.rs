//! Rate limits that endpoints name in their responses.

use std::sync::Arc;

/// The rate limits of endpoints.
#[derive(Debug, Clone, Default)]
pub struct RateLimits {
    /// Requests per second that each limited endpoint takes, sorted by endpoint.
    limits: Vec<(Arc<str>, f64)>,
}

impl RateLimits {
    /// Records what a response of `endpoint` says about its limit, and returns whether that has changed.
    pub fn record(&mut self, endpoint: &Arc<str>, per_second: Option<f64>) -> bool {
        let at = self.limits.binary_search_by(|(known, _)| known.cmp(endpoint));
        match (at, per_second) {
            (Ok(at), Some(per_second)) => {
                let former = std::mem::replace(&mut self.limits[at].1, per_second);
                former.to_bits() != per_second.to_bits()
            }
            (Ok(at), None) => {
                self.limits.remove(at);
                true
            }
            (Err(at), Some(per_second)) => {
                self.limits.insert(at, (Arc::clone(endpoint), per_second));
                true
            }
            (Err(_), None) => false,
        }
    }
}
