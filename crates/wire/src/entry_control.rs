//! Control calls that entries answer.

use sycamorestile_core::agent_view;

use sycamorestile_core::announce_reply;
use sycamorestile_core::digest;
use sycamorestile_core::packed;

/// Control calls of an entry.
#[tarpc::service]
pub trait EntryControl {
    /// Takes an agent's heartbeat.
    async fn announce(view: packed::Packed<agent_view::AgentView>) -> Option<announce_reply::AnnounceReply>;
    /// Takes another entry's digest.
    async fn exchange(digest: digest::Digest) -> Option<digest::DigestReply>;
}
