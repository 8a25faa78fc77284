//! Client of the platform service.
//!
//! The platform holds all durable state: a transactional table, an object store, an eventually consistent list of
//! instances and a rate-limited weight store. Its protocol is HTTP with JSON bodies and is described in
//! `docs/platform.md`. Every call has a timeout. The outcome of a commit that timed out is unknown: its writes may have
//! taken effect.

pub mod client;
pub mod commit;
pub mod error;
pub mod instance;
pub mod row;
