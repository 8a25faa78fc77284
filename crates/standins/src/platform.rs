//! HTTP server of the stand-in platform.

use std::future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, Request, Response};
use serde::Deserialize;
use sycamorestile_core::name;
use sycamorestile_node::error;
use sycamorestile_node::http_server;
use sycamorestile_node::request_body;
use sycamorestile_platform::instance;
use tokio::time;

use crate::json;
use crate::platform_state;

/// Handle to a running stand-in platform.
#[derive(Debug)]
pub struct Platform {
    state: Arc<Mutex<platform_state::PlatformState>>,
    server: http_server::Server,
}

/// Body of `POST /instances`: sets the entry of one instance in the list, or removes it when `instance` is `None`.
#[derive(Debug, Deserialize)]
struct ListChange {
    name: name::Name,
    instance: Option<instance::Instance>,
}

/// Body of `POST /weights`.
#[derive(Debug, Deserialize)]
struct WeightRequest {
    bytes: u64,
}

impl Platform {
    /// Starts a platform that listens on `addr`.
    ///
    /// # Errors
    ///
    /// Returns [`error::StartError::Bind`] when the server fails to listen on `addr`.
    pub async fn start(addr: SocketAddr) -> Result<Self, error::StartError> {
        let state = Arc::new(Mutex::new(platform_state::PlatformState::default()));
        let shared = Arc::clone(&state);
        let server = http_server::Server::start("platform", addr, move |req| handle(Arc::clone(&shared), req)).await?;
        Ok(Self { state, server })
    }

    /// Returns the address on which the platform listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Applies `faults` to the platform.
    pub fn set_faults(&self, faults: &platform_state::Faults) {
        lock(&self.state).set_faults(faults);
    }

    /// Sets the entry of the instance `name` in the instance list, or removes it when `instance` is `None`.
    ///
    /// The change becomes visible after the configured lag.
    pub fn set_listed_instance(&self, name: name::Name, instance: Option<instance::Instance>) {
        lock(&self.state).set_listed_instance(name, instance);
    }

    /// Returns the number of requests received so far, by kind.
    pub fn counts(&self) -> platform_state::Counts {
        lock(&self.state).counts
    }
}

fn lock(state: &Mutex<platform_state::PlatformState>) -> MutexGuard<'_, platform_state::PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(
    state: Arc<Mutex<platform_state::PlatformState>>,
    req: Request<request_body::RequestBody>,
) -> Response<http_server::Body> {
    let path = req.uri().path().to_owned();
    let method = req.method().clone();
    if method == Method::POST && path == "/faults" {
        return match json::read_json::<platform_state::Faults>(req.into_body()).await {
            Some(faults) => {
                lock(&state).set_faults(&faults);
                json::text(200, "set\n")
            }
            None => json::text(400, "request body must be a JSON object of faults\n"),
        };
    }
    let (is_unavailable, delay) = {
        let state = lock(&state);
        (state.is_unavailable(), state.delay)
    };
    if is_unavailable {
        return never_respond().await;
    }
    time::sleep(delay).await;
    match (method, path.as_str()) {
        (Method::POST, "/table/read") => match json::read_json(req.into_body()).await {
            Some(read) => json::respond(200, &lock(&state).read(&read)),
            None => json::text(400, "request body must be a JSON read request\n"),
        },
        (Method::POST, "/table/commit") => commit(&state, req).await,
        (Method::GET, "/instances") => json::respond(200, &lock(&state).instances()),
        (Method::POST, "/instances") => match json::read_json::<ListChange>(req.into_body()).await {
            Some(change) => {
                lock(&state).set_listed_instance(change.name, change.instance);
                json::text(200, "listed\n")
            }
            None => json::text(400, "request body must be a JSON object with name and instance\n"),
        },
        (Method::GET, "/counts") => json::respond(200, &lock(&state).counts),
        (Method::POST, "/weights") => read_weights(&state, req).await,
        (Method::PUT, _) if path.starts_with("/objects/") => match json::read_body(req.into_body()).await {
            Some(bytes) => {
                lock(&state).put_object(path, bytes.to_vec());
                json::text(200, "put\n")
            }
            None => json::text(400, "request body is too large or incomplete\n"),
        },
        (Method::GET, _) if path.starts_with("/objects/") => match lock(&state).object(&path) {
            Some(bytes) => http_server::full_response(200, "application/octet-stream", bytes),
            None => json::text(404, "no such object\n"),
        },
        _ => json::text(404, "no such path\n"),
    }
}

async fn commit(
    state: &Mutex<platform_state::PlatformState>,
    req: Request<request_body::RequestBody>,
) -> Response<http_server::Body> {
    let Some(commit) = json::read_json(req.into_body()).await else {
        return json::text(400, "request body must be a JSON commit request\n");
    };
    let (reply, drop_response) = {
        let mut state = lock(state);
        (state.commit(commit), state.consume_lost_response())
    };
    if drop_response {
        never_respond().await
    } else {
        json::respond(200, &reply)
    }
}

async fn read_weights(
    state: &Mutex<platform_state::PlatformState>,
    req: Request<request_body::RequestBody>,
) -> Response<http_server::Body> {
    let Some(request) = json::read_json::<WeightRequest>(req.into_body()).await else {
        return json::text(400, "request body must be a JSON object with bytes\n");
    };
    loop {
        let wait = lock(state).acquire_weights(request.bytes);
        match wait {
            Ok(()) => return json::text(200, "given\n"),
            Err(wait) => time::sleep(wait.min(Duration::from_secs(1))).await,
        }
    }
}

/// Never completes, so that the client gets no response.
async fn never_respond() -> Response<http_server::Body> {
    future::pending().await
}
