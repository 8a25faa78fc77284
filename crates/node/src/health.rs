//! Health and metrics pages.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use std::net::SocketAddr;

use crate::error;
use crate::http_server;
use crate::metrics;
use crate::request_body;

/// Starts the server of `/healthz`, `/readyz` and `/metrics`.
///
/// # Errors
///
/// Returns [`error::StartError::Bind`] if the address cannot be bound.
pub async fn start(
    addr: SocketAddr,
    ready: Arc<AtomicBool>,
    metrics: Arc<metrics::Metrics>,
) -> Result<http_server::Server, error::StartError> {
    let handler = move |req: http::Request<request_body::RequestBody>| {
        let (ready, metrics) = (Arc::clone(&ready), Arc::clone(&metrics));
        async move {
            match req.uri().path() {
                "/healthz" => http_server::full_response(200, "text/plain", "alive\n"),
                "/readyz" if ready.load(Ordering::Acquire) => http_server::full_response(200, "text/plain", "ready\n"),
                "/readyz" => http_server::full_response(503, "text/plain", "not ready\n"),
                "/metrics" => http_server::full_response(200, crate::metrics::CONTENT_TYPE, metrics.encode()),
                _ => http_server::full_response(404, "text/plain", "see /healthz, /readyz, /metrics\n"),
            }
        }
    };
    http_server::Server::start("metrics", addr, handler).await
}
