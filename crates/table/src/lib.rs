//! Client of the platform's versioned table.
//!
//! [`adapter`] defines the paths and codecs that a platform provides, [`client`] makes HTTP calls over one persistent
//! connection, [`reader`] reads rows and changes, and [`feed`] follows a topic: a full read and then its changes, all anew in each [`era`]. The daemons also share the clock in
//! [`boot_clock`], the logger in [`log`] and the format of the rows of ranks in [`rank_row`].

pub mod adapter;
pub mod availability;
pub mod boot_clock;
pub mod client;
pub mod era;
pub mod feed;
pub mod feed_event;
pub mod log;
pub mod position;
pub mod rank_row;
pub mod reader;
