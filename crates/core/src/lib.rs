//! Pure decisions of sycamorestile.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws from global randomness: time arrives as a
//! [`time::Time`], random numbers as a seeded generator, facts as typed events, and decisions leave as typed values.
//! One process can therefore drive any number of nodes in virtual time, which is how the tests, the benchmarks and
//! `docs/CAPACITY.md` obtain their figures.
//!
//! # Data flow
//!
//! ```text
//!  caller ──► call_head ──► limits ──► router ──► call ◄──► (agent) attempt_queue ──► fair_queue ──► endpoint
//!                                        ▲                      │
//!                    membership, load ───┘                      └─► claim (platform table)
//!  operator ─► config::change ─► (platform table) ─► config::state ─► every node
//! ```
//!
//! * An **entry** checks a caller's head with [`call_head`], asks [`limits`], chooses an endpoint with [`router`] and
//!   follows one [`call`] state machine until it ends in one [`outcome::Outcome`].
//! * An **agent** decides with its [`attempt_queue`] what begins, what waits and what is refused, and settles keyed
//!   calls with [`claim`].
//! * Both fold declarations with [`config`] and observe their peers with [`membership`].

pub mod agent_config;
pub mod agent_report;
pub mod agent_view;
pub mod announce_reply;
pub mod attempt_id;
pub mod attempt_queue;
pub mod call;
pub mod call_head;
pub mod claim;
pub mod claim_batch;
pub mod class;
pub mod config;
pub mod control_intervals;
pub mod decision_log;
pub mod digest;
pub mod direct;
pub mod dispatcher;
pub mod entry_board;
pub mod entry_selector;
pub mod event_splitter;
pub mod fair_queue;
pub mod frame_order;
pub mod incarnation;
pub mod limits;
pub mod load;
pub mod membership;
pub mod name;
pub mod outcome;
pub mod packed;
pub mod prefix_memory;
pub mod problem;
pub mod rendezvous;
pub mod report_store;
pub mod retry_budget;
pub mod revision;
pub mod router;
pub mod time;
