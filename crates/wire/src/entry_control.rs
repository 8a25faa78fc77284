//! The control service of entries.

use sycamorestile_core::agent_view;
use sycamorestile_core::announce_reply;
use sycamorestile_core::digest;
use sycamorestile_core::direct::crash_facts;
use sycamorestile_core::packed;

/// Control calls to an entry.
#[tarpc::service]
pub trait EntryControl {
    /// Processes a heartbeat of an agent.
    async fn announce(view: packed::Packed<agent_view::AgentView>) -> Option<announce_reply::AnnounceReply>;
    /// Processes the digest of another entry and returns what that entry lacks.
    async fn exchange(digest: digest::Digest) -> Option<digest::DigestReply>;
    /// Merges what another entry knows of crashes of endpoints, and returns what this one knows.
    async fn exchange_crashes(facts: crash_facts::CrashFacts) -> crash_facts::CrashFacts;
}
