//! JSON over the shared HTTP server.

use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sycamorestile_node::http_server;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A JSON response.
pub fn respond<T>(status: u16, value: &T) -> Response<http_server::Body>
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).unwrap_or_default();
    http_server::full_response(status, "application/json", body)
}

/// A plain text response.
pub fn text(status: u16, line: &'static str) -> Response<http_server::Body> {
    http_server::full_response(status, "text/plain", line)
}

/// Reads a whole body; `None` when it does not arrive.
pub async fn read(body: Incoming) -> Option<Bytes> {
    http_server::read_body(body, MAX_BODY_BYTES).await.ok()
}

/// Reads a JSON body; `None` when it does not arrive or is no `T`.
pub async fn read_as<T>(body: Incoming) -> Option<T>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&read(body).await?).ok()
}
