//! Port to the platform's versioned table.
//!
//! [`adapter`] is the table of functions that an adapter fills, [`client`] makes calls over one kept connection, and
//! [`feed`] follows a topic from a full read through its changes. [`boot_clock`] and [`log`] are shared by the daemons
//! that use them.

pub mod adapter;
pub mod boot_clock;
pub mod client;
pub mod feed;
pub mod log;
