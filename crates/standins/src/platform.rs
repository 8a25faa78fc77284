//! The stand-in platform's server.

use std::future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, Request, Response};
use hyper::body::Incoming;
use serde::Deserialize;
use sycamorestile_core::name;
use sycamorestile_node::error;
use sycamorestile_node::http_server;
use sycamorestile_platform::instance;
use tokio::time;

use crate::json;
use crate::platform_state;

/// A running stand-in.
#[derive(Debug)]
pub struct Platform {
    state: Arc<Mutex<platform_state::PlatformState>>,
    server: http_server::Server,
}

/// A change of the instance list.
#[derive(Debug, Deserialize)]
struct ListChange {
    name: name::Name,
    instance: Option<instance::Instance>,
}

/// Wanted weights.
#[derive(Debug, Deserialize)]
struct WeightRequest {
    bytes: u64,
}

impl Platform {
    /// Starts a platform at `addr`.
    ///
    /// # Errors
    ///
    /// [`error::StartError::Bind`] when the address can't be listened on.
    pub async fn start(addr: SocketAddr) -> Result<Self, error::StartError> {
        let state = Arc::new(Mutex::new(platform_state::PlatformState::default()));
        let shared = Arc::clone(&state);
        let server = http_server::Server::start("platform", addr, move |req| answer(Arc::clone(&shared), req)).await?;
        Ok(Self { state, server })
    }

    /// Address of the platform.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets faults.
    pub fn set_faults(&self, faults: &platform_state::Faults) {
        lock(&self.state).set_faults(faults);
    }

    /// Changes the list of instances.
    pub fn list_instance(&self, name: name::Name, instance: Option<instance::Instance>) {
        lock(&self.state).list_instance(name, instance);
    }

    /// Calls taken so far.
    pub fn counts(&self) -> platform_state::Counts {
        lock(&self.state).counts
    }
}

fn lock(state: &Mutex<platform_state::PlatformState>) -> MutexGuard<'_, platform_state::PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(
    state: Arc<Mutex<platform_state::PlatformState>>,
    req: Request<Incoming>,
) -> Response<http_server::Body> {
    let path = req.uri().path().to_owned();
    let method = req.method().clone();
    if method == Method::POST && path == "/faults" {
        return match json::read_as::<platform_state::Faults>(req.into_body()).await {
            Some(faults) => {
                lock(&state).set_faults(&faults);
                json::text(200, "set\n")
            }
            None => json::text(400, "send faults\n"),
        };
    }
    let (out, delay) = {
        let state = lock(&state);
        (state.is_out(), state.delay)
    };
    if out {
        return never().await;
    }
    time::sleep(delay).await;
    match (method, path.as_str()) {
        (Method::POST, "/table/read") => match json::read_as(req.into_body()).await {
            Some(read) => json::respond(200, &lock(&state).read(&read)),
            None => json::text(400, "send a read\n"),
        },
        (Method::POST, "/table/commit") => commit(&state, req).await,
        (Method::GET, "/instances") => json::respond(200, &lock(&state).instances()),
        (Method::POST, "/instances") => match json::read_as::<ListChange>(req.into_body()).await {
            Some(change) => {
                lock(&state).list_instance(change.name, change.instance);
                json::text(200, "listed\n")
            }
            None => json::text(400, "send an instance\n"),
        },
        (Method::GET, "/counts") => json::respond(200, &lock(&state).counts),
        (Method::POST, "/weights") => weights(&state, req).await,
        (Method::PUT, _) if path.starts_with("/objects/") => match json::read(req.into_body()).await {
            Some(bytes) => {
                lock(&state).put_object(path, bytes.to_vec());
                json::text(200, "put\n")
            }
            None => json::text(400, "send the object\n"),
        },
        (Method::GET, _) if path.starts_with("/objects/") => match lock(&state).object(&path) {
            Some(bytes) => http_server::full_response(200, "application/octet-stream", bytes),
            None => json::text(404, "no such object\n"),
        },
        _ => json::text(404, "no such path\n"),
    }
}

async fn commit(state: &Mutex<platform_state::PlatformState>, req: Request<Incoming>) -> Response<http_server::Body> {
    let Some(commit) = json::read_as(req.into_body()).await else {
        return json::text(400, "send a commit\n");
    };
    let (reply, lost) = {
        let mut state = lock(state);
        (state.commit(commit), state.loses_answer())
    };
    if lost {
        never().await
    } else {
        json::respond(200, &reply)
    }
}

async fn weights(state: &Mutex<platform_state::PlatformState>, req: Request<Incoming>) -> Response<http_server::Body> {
    let Some(wanted) = json::read_as::<WeightRequest>(req.into_body()).await else {
        return json::text(400, "send the number of bytes\n");
    };
    loop {
        let wait = lock(state).take_weights(wanted.bytes);
        match wait {
            Ok(()) => return json::text(200, "given\n"),
            Err(wait) => time::sleep(wait.min(Duration::from_secs(1))).await,
        }
    }
}

/// An answer that never comes.
async fn never() -> Response<http_server::Body> {
    future::pending().await
}
