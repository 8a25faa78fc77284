//! Helpers for JSON requests and responses on the HTTP server of `sycamorestile-node`.

use bytes::Bytes;
use http::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sycamorestile_node::http_server;
use sycamorestile_node::request_body;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Returns a response with `value` as its JSON body.
pub fn respond<T>(status: u16, value: &T) -> Response<http_server::Body>
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).unwrap_or_default();
    http_server::full_response(status, "application/json", body)
}

/// Returns a plain text response.
pub fn text(status: u16, text: &'static str) -> Response<http_server::Body> {
    http_server::full_response(status, "text/plain", text)
}

/// Reads a whole request body.
///
/// Returns `None` when the body is too large or does not arrive in full.
pub async fn read_body(body: request_body::RequestBody) -> Option<Bytes> {
    http_server::read_body(body, MAX_BODY_BYTES).await.ok()
}

/// Reads a whole request body and decodes it as JSON.
///
/// Returns `None` when the body is too large, does not arrive in full or does not decode as a `T`.
pub async fn read_json<T>(body: request_body::RequestBody) -> Option<T>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&read_body(body).await?).ok()
}
