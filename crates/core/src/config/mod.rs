//! Declarations of operators, and their replication to every node.
//!
//! Changes are accepted only by a write to the platform's table. Nodes apply accepted changes in order to a
//! [`state::ConfigState`], which accepts only the change with the next revision or a snapshot with a higher revision.
//! No sequence of messages can therefore bring an older revision back into force.

pub mod change;
pub mod declaration;
pub mod endpoint;
pub mod fault;
pub mod group;
pub mod organisation;
pub mod service;
pub mod state;
pub mod transaction;
