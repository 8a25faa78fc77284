//! Stand-in for a model engine: all ranks of one expert-parallel group.
//!
//! The ranks step in lockstep: a step takes as long as the rank with the largest batch needs, and generates one token
//! for each sequence in every batch. At each step the group checks that all ranks hold the same expert map, and counts
//! the steps in which they do not.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, StreamBody};
use serde::{Deserialize, Serialize};
use sycamorestile_node::error;
use sycamorestile_node::http_server;
use sycamorestile_node::request_body;
use tokio::sync::mpsc;
use tokio::time;
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::engine_rank;
use crate::json;
use crate::ledger;
use crate::text;

/// Maximum number of tokens in one completion.
const MAX_TOKENS: u32 = 100_000;

/// Options of a stand-in group.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Address of the first rank. The other ranks use the ports that follow, or any free ports when the port is zero.
    pub first_addr: SocketAddr,
    /// Number of ranks.
    pub ranks: u32,
    /// Maximum number of sequences in a rank's batch.
    pub slots: usize,
    /// Duration of a step when all batches are empty.
    pub step_time: Duration,
    /// Time that each sequence in the largest batch adds to a step.
    pub step_time_per_sequence: Duration,
}

/// State of the group, as `GET /state` of any rank returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupState {
    /// Number of steps since the group started.
    pub steps: u64,
    /// Number of steps in which the ranks held different expert maps.
    pub split_steps: u64,
    /// Version of the expert map of each rank, in order of rank.
    pub maps: Vec<u64>,
}

#[derive(Debug)]
struct Group {
    options: EngineOptions,
    ranks: Vec<engine_rank::Rank>,
    steps: u64,
    split_steps: u64,
}

/// Handle to a running stand-in group.
#[derive(Debug)]
pub struct Engine {
    servers: Vec<http_server::Server>,
}

/// Body of `POST /v1/completions`.
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

/// Body of a response that is not streamed.
#[derive(Debug, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// Generated text.
    pub text: String,
    /// Number of tokens in the whole completion, including those before the point of resumption.
    pub tokens: u32,
}

/// Data of one event of a streamed response.
#[derive(Debug, Serialize, Deserialize)]
pub struct TokenEvent {
    /// Index of the token within the completion.
    pub index: u32,
    /// Text of the token.
    pub text: String,
}

impl Engine {
    /// Starts a group with one HTTP server for each rank.
    ///
    /// # Errors
    ///
    /// Returns [`error::StartError::Bind`] when a server fails to listen on its address.
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

    /// Returns the addresses of the ranks, in order of rank.
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

async fn handle(
    group: Arc<Mutex<Group>>,
    rank: usize,
    req: Request<request_body::RequestBody>,
) -> Response<http_server::Body> {
    match (req.method().clone(), req.uri().path()) {
        (Method::POST, "/v1/completions") => complete(&group, rank, req).await,
        (Method::GET, "/state") => json::respond(200, &lock(&group).state()),
        (Method::POST, "/faults") => match json::read_json::<engine_rank::Faults>(req.into_body()).await {
            Some(faults) => {
                lock(&group).ranks[rank].set_faults(&faults);
                json::text(200, "set\n")
            }
            None => json::text(400, "request body must be a JSON object of faults\n"),
        },
        _ => json::text(404, "no such path\n"),
    }
}

async fn complete(
    group: &Mutex<Group>,
    rank: usize,
    req: Request<request_body::RequestBody>,
) -> Response<http_server::Body> {
    let Some(request) = json::read_json::<CompletionRequest>(req.into_body()).await else {
        return json::text(400, "request body must be a JSON completion request with a prompt\n");
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
