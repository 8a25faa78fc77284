//! Stand-in for a plain service: a ledger that makes a booking for every request, without deduplication.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use sycamorestile_node::error;
use sycamorestile_node::http_server;
use sycamorestile_node::request_body;
use tokio::time;

use crate::json;

/// Body of `POST /bookings`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BookingRequest {
    /// Name of the account.
    pub account: String,
    /// Amount in cents.
    pub cents: i64,
}

/// A booking that was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// Sequence number of the booking, starting at 1.
    pub id: u64,
    /// Name of the account.
    pub account: String,
    /// Amount in cents.
    pub cents: i64,
}

/// Balance of an account, as `GET /accounts/{account}` returns it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account.
    pub account: String,
    /// Sum of all bookings in cents.
    pub cents: i64,
    /// Number of bookings.
    pub bookings: u64,
}

/// Faults to inject. A field that is `None` leaves its setting unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Faults {
    /// Delay between making a booking and sending the response, in milliseconds.
    pub answer_delay_ms: Option<u64>,
    /// Number of coming bookings that are made but get no response.
    pub lose_answers: Option<u32>,
}

#[derive(Debug, Default)]
struct Books {
    accounts: BTreeMap<String, Account>,
    bookings: u64,
    answer_delay: Duration,
    lose_answers: u32,
}

/// Handle to running replicas that share their accounts.
#[derive(Debug)]
pub struct Ledger {
    servers: Vec<http_server::Server>,
}

impl Ledger {
    /// Starts `replicas` replicas.
    ///
    /// The first replica listens on `first`. The others use the ports that follow, or any free ports when the port is
    /// zero.
    ///
    /// # Errors
    ///
    /// Returns [`error::StartError::Bind`] when a replica fails to listen on its address.
    pub async fn start(first: SocketAddr, replicas: u32) -> Result<Self, error::StartError> {
        let books = Arc::new(Mutex::new(Books::default()));
        let mut servers = Vec::new();
        for replica in 0..replicas {
            let shared = Arc::clone(&books);
            let addr = offset_port(first, replica);
            let server =
                http_server::Server::start("ledger", addr, move |req| handle(Arc::clone(&shared), req)).await?;
            servers.push(server);
        }
        Ok(Self { servers })
    }

    /// Returns the addresses of the replicas.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(http_server::Server::addr).collect()
    }
}

/// Returns the address `offset` ports after `first`.
///
/// Port zero, which lets the operating system choose a port, stays zero.
pub fn offset_port(first: SocketAddr, offset: u32) -> SocketAddr {
    let port = match first.port() {
        0 => 0,
        port => port + offset as u16,
    };
    SocketAddr::new(first.ip(), port)
}

fn lock(books: &Mutex<Books>) -> MutexGuard<'_, Books> {
    books.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(books: Arc<Mutex<Books>>, req: Request<request_body::RequestBody>) -> Response<http_server::Body> {
    let path = req.uri().path().to_owned();
    match *req.method() {
        Method::POST if path == "/bookings" => create_booking(&books, req).await,
        Method::POST if path == "/faults" => match json::read_json::<Faults>(req.into_body()).await {
            Some(faults) => {
                lock(&books).set_faults(&faults);
                json::text(200, "set\n")
            }
            None => json::text(400, "request body must be a JSON object of faults\n"),
        },
        Method::GET => match path.strip_prefix("/accounts/") {
            Some(account) => json::respond(200, &lock(&books).account(account)),
            None => json::text(404, "no such path\n"),
        },
        _ => json::text(404, "no such path\n"),
    }
}

async fn create_booking(books: &Mutex<Books>, req: Request<request_body::RequestBody>) -> Response<http_server::Body> {
    let Some(request) = json::read_json::<BookingRequest>(req.into_body()).await else {
        return json::text(400, "request body must be a JSON object with account and cents\n");
    };
    let (booking, delay, drop_response) = {
        let mut books = lock(books);
        let drop_response = books.lose_answers > 0;
        books.lose_answers = books.lose_answers.saturating_sub(1);
        (books.add_booking(request), books.answer_delay, drop_response)
    };
    time::sleep(delay).await;
    if drop_response {
        std::future::pending::<()>().await;
    }
    json::respond(201, &booking)
}

impl Books {
    fn set_faults(&mut self, faults: &Faults) {
        if let Some(ms) = faults.answer_delay_ms {
            self.answer_delay = Duration::from_millis(ms);
        }
        if let Some(count) = faults.lose_answers {
            self.lose_answers = count;
        }
    }

    fn add_booking(&mut self, request: BookingRequest) -> Booking {
        self.bookings += 1;
        let account = self.accounts.entry(request.account.clone()).or_insert_with(|| Account {
            account: request.account.clone(),
            ..Account::default()
        });
        account.cents += request.cents;
        account.bookings += 1;
        Booking {
            id: self.bookings,
            account: request.account,
            cents: request.cents,
        }
    }

    fn account(&self, name: &str) -> Account {
        let found = self.accounts.get(name).cloned();
        found.unwrap_or_else(|| Account {
            account: name.to_owned(),
            ..Account::default()
        })
    }
}
