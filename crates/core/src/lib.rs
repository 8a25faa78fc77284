//! Decision logic of sycamorestile, free of I/O.
//!
//! Nothing in this crate opens a socket, reads a clock, starts a thread or uses a global random number generator.
//! Callers pass in the time as a [`time::Time`], a seeded generator where randomness is needed, and observations as
//! typed values; decisions are returned as typed values. A single process can therefore simulate any number of nodes in
//! virtual time, which is how the tests, the benchmarks and `docs/CAPACITY.md` obtain their figures.
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
//! * An **entry** validates the head of a call with [`call_head`], enforces [`limits`], chooses an endpoint with
//!   [`router`] and runs one [`call`] state machine until the call ends with an [`outcome::Outcome`].
//! * An **agent** decides with its [`attempt_queue`] which attempts are started, queued or refused, and uses [`claim`] to
//!   coordinate calls that have an idempotency key.
//! * Both apply configuration changes with [`config`]. Entries track the liveness of agents with [`membership`].

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
pub mod event_stream;
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
pub mod response_retention;
pub mod retry_budget;
pub mod revision;
pub mod router;
pub mod spread;
pub mod time;
