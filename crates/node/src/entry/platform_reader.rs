//! Reads the platform's configuration rows and its list of instances.
//!
//! Calls to the platform block, so this runs on a separate thread. The thread keeps no state; the control thread
//! decides what the result of a read means.

use std::sync::Arc;
use std::thread;

use sycamorestile_core::config::change;
use sycamorestile_core::revision;
use sycamorestile_platform::client;
use sycamorestile_platform::instance;

use crate::entry::config_store;
use crate::entry::context;
use crate::entry::message;
use crate::error;

/// Starts the thread.
///
/// # Errors
///
/// Returns [`error::StartError::Thread`] if the thread cannot be spawned.
pub(crate) fn start(client: client::Client, cx: Arc<context::EntryContext>) -> Result<(), error::StartError> {
    let thread = thread::Builder::new().name("platform".to_owned());
    let spawned = thread.spawn(move || run(&client, &cx));
    spawned.map(drop).map_err(|source| error::StartError::Thread {
        what: "platform",
        source,
    })
}

fn run(client: &client::Client, cx: &context::EntryContext) {
    loop {
        let known = cx.snapshot().config.revision();
        cx.control.apply_config_read(read_config(client, known));
        report_draining_agents(client, cx);
        // The control thread stops only with the process.
        let Some(interval) = cx.control.read_interval() else {
            return;
        };
        thread::sleep(interval);
    }
}

fn read_config(client: &client::Client, known: revision::Revision) -> message::ConfigRead {
    let Ok(head) = config_store::read_head(client) else {
        return message::ConfigRead::Unreachable;
    };
    if head.revision <= known {
        return message::ConfigRead::Current;
    }
    if known > revision::Revision::default()
        && let Ok(changes) = config_store::read_changes(client, known)
        && continues_from(&changes, known)
    {
        return message::ConfigRead::Changes(changes);
    }
    config_store::read_snapshot(client).map_or(message::ConfigRead::Unreachable, message::ConfigRead::Snapshot)
}

fn continues_from(changes: &[change::Change], known: revision::Revision) -> bool {
    changes.first().is_some_and(|c| c.revision == known.next())
}

fn report_draining_agents(client: &client::Client, cx: &context::EntryContext) {
    let Ok(list) = client.instances() else { return };
    for instance in list.instances {
        if let (instance::Role::Agent, instance::InstanceState::Leaving, Some(endpoint)) =
            (instance.role, instance.state, instance.endpoint)
        {
            cx.control.mark_listed_draining(endpoint);
        }
    }
}
