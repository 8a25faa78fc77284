//! The stand-in model engine: all ranks of one group.
//!
//! The ranks step together: a step takes as long as its slowest rank, and gives one token to each answer in each batch.
//! Before each step the group checks that all ranks hold the same expert map and counts the steps in which they do not.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use sycamorestile_node::error;
use sycamorestile_node::http_server;
use tokio::sync::mpsc;
use tokio::time;
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::engine_rank;
use crate::json;
use crate::ledger;
use crate::text;

/// Most tokens of one answer.
const MAX_TOKENS: u32 = 100_000;

/// How a stand-in group behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Address of the first rank; the others follow on the next ports, or on any.
    pub first_addr: SocketAddr,
    /// Number of ranks.
    pub ranks: u32,
    /// Answers in a rank's batch.
    pub slots: usize,
    /// Time of a step with empty batches.
    pub step_time: Duration,
    /// Time that each answer in the fullest batch adds.
    pub step_time_per_sequence: Duration,
}

/// State that a rank shows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupState {
    /// Steps so far.
    pub steps: u64,
    /// Steps in which ranks held different maps.
    pub split_steps: u64,
    /// Versions of the ranks' maps.
    pub maps: Vec<u64>,
}

#[derive(Debug)]
struct Group {
    options: EngineOptions,
    ranks: Vec<engine_rank::Rank>,
    steps: u64,
    split_steps: u64,
}

/// A running stand-in group.
#[derive(Debug)]
pub struct Engine {
    servers: Vec<http_server::Server>,
}

/// A wanted answer.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume_from: u32,
}

fn default_max_tokens() -> u32 {
    16
}

/// An answer that is no stream.
#[derive(Debug, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// The text.
    pub text: String,
    /// Number of tokens.
    pub tokens: u32,
}

/// One event of a stream.
#[derive(Debug, Serialize, Deserialize)]
pub struct TokenEvent {
    /// Index of the token.
    pub index: u32,
    /// Its text.
    pub text: String,
}

impl Engine {
    /// Starts a group.
    ///
    /// # Errors
    ///
    /// [`error::StartError::Bind`] when an address can't be listened on.
    pub async fn start(options: EngineOptions) -> Result<Self, error::StartError> {
        let ranks = (0..options.ranks).map(|_| engine_rank::Rank::default()).collect();
        let group = Arc::new(Mutex::new(Group {
            options: options.clone(),
            ranks,
            steps: 0,
            split_steps: 0,
        }));
        let mut servers = Vec::new();
        for rank in 0..options.ranks {
            let shared = Arc::clone(&group);
            let addr = ledger::offset_port(options.first_addr, rank);
            let server = http_server::Server::start("engine", addr, move |req| {
                handle(Arc::clone(&shared), rank as usize, req)
            })
            .await?;
            servers.push(server);
        }
        tokio::spawn(run_steps(group));
        Ok(Self { servers })
    }

    /// Addresses of the ranks.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(http_server::Server::addr).collect()
    }
}

fn lock(group: &Mutex<Group>) -> MutexGuard<'_, Group> {
    group.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run_steps(group: Arc<Mutex<Group>>) {
    loop {
        let step_time = lock(&group).step_time();
        time::sleep(step_time).await;
        lock(&group).step();
    }
}

impl Group {
    fn step_time(&mut self) -> Duration {
        let slots = self.options.slots;
        self.ranks.iter_mut().for_each(|rank| rank.admit_waiting(slots));
        let largest_batch = self.ranks.iter().map(|rank| rank.running.len()).max().unwrap_or(0);
        self.options.step_time + self.options.step_time_per_sequence * largest_batch as u32
    }

    fn step(&mut self) {
        let first_version = self.ranks.first().map(|rank| rank.map_version);
        if self.ranks.iter().any(|rank| Some(rank.map_version) != first_version) {
            self.split_steps += 1;
        }
        self.steps += 1;
        self.ranks.iter_mut().for_each(engine_rank::Rank::step);
    }

    fn state(&self) -> GroupState {
        GroupState {
            steps: self.steps,
            split_steps: self.split_steps,
            maps: self.ranks.iter().map(|rank| rank.map_version).collect(),
        }
    }
}

async fn handle(group: Arc<Mutex<Group>>, rank: usize, req: Request<Incoming>) -> Response<http_server::Body> {
    match (req.method().clone(), req.uri().path()) {
        (Method::POST, "/v1/completions") => complete(&group, rank, req).await,
        (Method::GET, "/state") => json::respond(200, &lock(&group).state()),
        (Method::POST, "/faults") => match json::read_json::<engine_rank::Faults>(req.into_body()).await {
            Some(faults) => {
                lock(&group).ranks[rank].set_faults(&faults);
                json::text(200, "set\n")
            }
            None => json::text(400, "send faults\n"),
        },
        _ => json::text(404, "no such path\n"),
    }
}

async fn complete(group: &Mutex<Group>, rank: usize, req: Request<Incoming>) -> Response<http_server::Body> {
    let Some(request) = json::read_json::<CompletionRequest>(req.into_body()).await else {
        return json::text(400, "send a prompt\n");
    };
    let end_index = request.max_tokens.min(MAX_TOKENS);
    let (tx, mut rx) = mpsc::unbounded_channel();
    if request.resume_from < end_index {
        lock(group).ranks[rank].waiting.push_back(engine_rank::Sequence {
            next_index: request.resume_from,
            end_index,
            token_tx: tx,
        });
    }
    if request.stream {
        return stream_response(request.prompt, end_index, rx);
    }
    let mut text = String::new();
    while let Some(index) = rx.recv().await {
        text.push_str(&text::token(&request.prompt, index));
    }
    json::respond(
        200,
        &CompletionResponse {
            text,
            tokens: end_index,
        },
    )
}

fn stream_response(prompt: String, end_index: u32, rx: mpsc::UnboundedReceiver<u32>) -> Response<http_server::Body> {
    let tokens = UnboundedReceiverStream::new(rx).map(move |index| {
        let text = text::token(&prompt, index);
        let event = serde_json::to_string(&TokenEvent { index, text }).unwrap_or_default();
        format!("data: {event}\n\n")
    });
    let end_event = futures::stream::once(async move { format!("event: end\ndata: {{\"tokens\":{end_index}}}\n\n") });
    let frames = tokens
        .chain(end_event)
        .map(|event| Ok::<_, Infallible>(hyper::body::Frame::data(Bytes::from(event))));
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let event_stream = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, event_stream);
    response
}
