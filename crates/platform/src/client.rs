//! Blocking HTTP client of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::commit;
use crate::error;
use crate::instance;
use crate::row;

/// Default timeout of a call, including connecting.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Client of the platform at one address.
///
/// Connections are not reused between calls. A reused connection may be dead, which only the timeout of a call would
/// reveal, while a new connection costs one round trip.
#[derive(Debug, Clone)]
pub struct Client {
    base: String,
    agent: ureq::Agent,
}

impl Client {
    /// Creates a client of the platform at `addr` with a timeout of [`CALL_TIMEOUT`].
    pub fn new(addr: SocketAddr) -> Self {
        Self::with_timeout(addr, CALL_TIMEOUT)
    }

    /// Creates a client of the platform at `addr` whose calls time out after `timeout`.
    pub fn with_timeout(addr: SocketAddr, timeout: Duration) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(timeout))
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections(0)
            // The library would follow a redirection whose head breaks off.
            .max_redirects(0)
            .http_status_as_error(false)
            .build();
        Self {
            base: format!("http://{addr}"),
            agent: ureq::Agent::new_with_config(config),
        }
    }

    /// Reads rows of the table.
    ///
    /// # Errors
    ///
    /// Returns [`error::PlatformError`] when the platform does not return a valid response.
    pub fn read(&self, req: &row::ReadRequest) -> Result<row::ReadReply, error::PlatformError> {
        self.post("/table/read", req)
    }

    /// Commits a transaction on the table.
    ///
    /// # Errors
    ///
    /// Returns [`error::PlatformError`] when the platform does not return a valid response. If
    /// [`error::PlatformError::is_outcome_unknown`] returns `true`, the transaction may have taken effect all the same.
    pub fn commit(&self, req: &commit::CommitRequest) -> Result<commit::CommitReply, error::PlatformError> {
        self.post("/table/commit", req)
    }

    /// Reads the list of instances.
    ///
    /// # Errors
    ///
    /// Returns [`error::PlatformError`] when the platform does not return a valid response.
    pub fn instances(&self) -> Result<instance::InstanceList, error::PlatformError> {
        let url = format!("{}/instances", self.base);
        let response = self.agent.get(&url).call();
        decode_response(response)
    }

    fn post<Req, Resp>(&self, path: &str, req: &Req) -> Result<Resp, error::PlatformError>
    where
        Req: Serialize,
        Resp: DeserializeOwned,
    {
        let url = format!("{}{path}", self.base);
        let response = self.agent.post(&url).send_json(req);
        decode_response(response)
    }
}

fn decode_response<Resp>(
    response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Resp, error::PlatformError>
where
    Resp: DeserializeOwned,
{
    let mut response = response.map_err(|e| error::PlatformError::NoResponse(Box::new(e)))?;
    let status = response.status().as_u16();
    if (300..400).contains(&status) {
        return Err(error::PlatformError::Redirected { status });
    }
    if status != 200 {
        return Err(error::PlatformError::Rejected { status });
    }
    response
        .body_mut()
        .read_json()
        .map_err(|e| error::PlatformError::DecodeResponse(Box::new(e)))
}
