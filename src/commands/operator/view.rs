//! JSON output of operator commands.

use serde::Serialize;
use sycamorestile_core::config::declaration;
use sycamorestile_operator_api::v1;

/// The result of a change.
#[derive(Debug, Serialize)]
pub(crate) struct ChangeView {
    pub(crate) result: &'static str,
    pub(crate) change_id: String,
    pub(crate) revision: u64,
    pub(crate) conflicts: Vec<ConflictView>,
    pub(crate) faults: Vec<FaultView>,
    pub(crate) cause: String,
}

/// An object whose version differs from the expected one.
#[derive(Debug, Serialize)]
pub(crate) struct ConflictView {
    pub(crate) object: String,
    pub(crate) seen: u64,
    pub(crate) found: u64,
}

/// An invalid object of a change.
#[derive(Debug, Serialize)]
pub(crate) struct FaultView {
    pub(crate) object: String,
    pub(crate) message: String,
}

/// A declared object and its version.
#[derive(Debug, Serialize)]
pub(crate) struct ObjectView {
    pub(crate) version: u64,
    #[serde(flatten)]
    pub(crate) declaration: declaration::Declaration,
}

/// An entry's view of its failure domain.
#[derive(Debug, Serialize)]
pub(crate) struct StatusView {
    pub(crate) instance: String,
    pub(crate) failure_domain: String,
    pub(crate) revision: u64,
    pub(crate) ready: bool,
    pub(crate) leaving: bool,
    pub(crate) platform_in_reach: bool,
    pub(crate) agents: Vec<AgentView>,
    pub(crate) entries: Vec<EntryView>,
}

/// An agent, as known to the entry.
#[derive(Debug, Serialize)]
pub(crate) struct AgentView {
    pub(crate) endpoint: String,
    pub(crate) standing: &'static str,
    pub(crate) incarnation: String,
    pub(crate) revision: u64,
    pub(crate) silent_ms: u64,
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) slots: u32,
    pub(crate) first_token_us: u32,
    pub(crate) token_gap_us: u32,
}

/// Another entry, as known to the entry.
#[derive(Debug, Serialize)]
pub(crate) struct EntryView {
    pub(crate) instance: String,
    pub(crate) failure_domain: String,
    pub(crate) revision: u64,
    pub(crate) silent_ms: u64,
}

/// The result of a drain.
#[derive(Debug, Serialize)]
pub(crate) struct DrainView {
    pub(crate) running: u32,
}

/// A recorded decision.
#[derive(Debug, Serialize)]
pub(crate) struct DecisionView {
    pub(crate) age_ms: u64,
    pub(crate) action: String,
    pub(crate) call: String,
    pub(crate) endpoint: String,
    pub(crate) group: String,
    pub(crate) cause: String,
}

fn key_text(key: Option<&v1::Key>) -> String {
    let Some(key) = key else { return String::new() };
    let kind = match v1::Kind::try_from(key.kind) {
        Ok(v1::Kind::Service) => "service",
        Ok(v1::Kind::Group) => "group",
        Ok(v1::Kind::Organisation) => "organisation",
        Ok(v1::Kind::Endpoint) => "endpoint",
        Ok(v1::Kind::Unspecified) | Err(_) => "unknown",
    };
    format!("{kind}/{}", key.name)
}

impl From<&v1::ChangeReply> for ChangeView {
    fn from(reply: &v1::ChangeReply) -> Self {
        let result = match v1::ChangeResult::try_from(reply.result) {
            Ok(v1::ChangeResult::Applied) => "applied",
            Ok(v1::ChangeResult::NotApplied) => "not-applied",
            Ok(v1::ChangeResult::Unknown | v1::ChangeResult::Unspecified) | Err(_) => "unknown",
        };
        let conflicts = reply.conflicts.iter().map(|c| ConflictView {
            object: key_text(c.key.as_ref()),
            seen: c.seen,
            found: c.found,
        });
        let faults = reply.faults.iter().map(|f| FaultView {
            object: key_text(f.key.as_ref()),
            message: f.message.clone(),
        });
        Self {
            result,
            change_id: reply.change_id.clone(),
            revision: reply.revision,
            conflicts: conflicts.collect(),
            faults: faults.collect(),
            cause: reply.cause.clone(),
        }
    }
}

impl From<&v1::StatusReply> for StatusView {
    fn from(reply: &v1::StatusReply) -> Self {
        Self {
            instance: reply.instance.clone(),
            failure_domain: reply.failure_domain.clone(),
            revision: reply.revision,
            ready: reply.ready,
            leaving: reply.leaving,
            platform_in_reach: reply.platform_in_reach,
            agents: reply.agents.iter().map(AgentView::from).collect(),
            entries: reply.entries.iter().map(EntryView::from).collect(),
        }
    }
}

impl From<&v1::AgentStatus> for AgentView {
    fn from(agent: &v1::AgentStatus) -> Self {
        let standing = match v1::Standing::try_from(agent.standing) {
            Ok(v1::Standing::Live) => "live",
            Ok(v1::Standing::Suspect) => "suspect",
            Ok(v1::Standing::Leaving) => "leaving",
            Ok(v1::Standing::Gone) => "gone",
            Ok(v1::Standing::Unspecified) | Err(_) => "unknown",
        };
        Self {
            endpoint: agent.endpoint.clone(),
            standing,
            incarnation: agent.incarnation.clone(),
            revision: agent.revision,
            silent_ms: agent.silent_ms,
            running: agent.running,
            queued: agent.queued,
            slots: agent.slots,
            first_token_us: agent.first_token_us,
            token_gap_us: agent.token_gap_us,
        }
    }
}

impl From<&v1::EntryStatus> for EntryView {
    fn from(entry: &v1::EntryStatus) -> Self {
        Self {
            instance: entry.instance.clone(),
            failure_domain: entry.failure_domain.clone(),
            revision: entry.revision,
            silent_ms: entry.silent_ms,
        }
    }
}

impl From<&v1::Decision> for DecisionView {
    fn from(decision: &v1::Decision) -> Self {
        Self {
            age_ms: decision.age_ms,
            action: decision.action.clone(),
            call: decision.call.clone(),
            endpoint: decision.endpoint.clone(),
            group: decision.group.clone(),
            cause: decision.cause.clone(),
        }
    }
}
