//! Table, JSON and YAML output of operator commands.

use serde::Serialize;
use sycamorestile_core::config::declaration;
use sycamorestile_operator_api::convert;
use sycamorestile_operator_api::v1;

use crate::commands;
use crate::commands::daemon;
use crate::commands::operator;
use crate::commands::operator::error;
use crate::commands::operator::view;

/// Prints the result of a change.
///
/// # Errors
///
/// Returns an error unless the change was applied, so that the exit code shows the result.
pub(crate) fn change(reply: &v1::ChangeReply, format: operator::Format) -> Result<(), commands::CommandError> {
    let view = view::ChangeView::from(reply);
    match format {
        operator::Format::Json => daemon::print_line(&view)?,
        operator::Format::Table => print_change_table(&view),
    }
    match view.result {
        "applied" => Ok(()),
        "not-applied" => Err(commands::CommandError::failure(error::OperatorError::NotApplied)),
        _ => Err(commands::CommandError::failure(error::OperatorError::UnknownResult)),
    }
}

fn print_change_table(view: &view::ChangeView) {
    println!("{}  change {}  revision {}", view.result, view.change_id, view.revision);
    for conflict in &view.conflicts {
        println!(
            "conflict  {}  seen {}  found {}",
            conflict.object, conflict.seen, conflict.found
        );
    }
    for fault in &view.faults {
        println!("fault  {}  {}", fault.object, fault.message);
    }
    if !view.cause.is_empty() {
        println!("cause  {}", view.cause);
    }
}

/// Prints objects and their versions.
pub(crate) fn objects(objects: Vec<v1::Object>, format: operator::Format) -> Result<(), commands::CommandError> {
    let rpc_error = |status| commands::CommandError::failure(error::OperatorError::CallFailed(Box::new(status)));
    let mut views = Vec::with_capacity(objects.len());
    for object in objects {
        let declaration: declaration::Declaration =
            convert::declaration_from_proto(object.declaration).map_err(rpc_error)?;
        views.push(view::ObjectView {
            version: object.version,
            declaration,
        });
    }
    match format {
        operator::Format::Json => daemon::print_line(&views),
        operator::Format::Table => {
            println!("{:<14}{:<32}VERSION", "KIND", "NAME");
            for view in views {
                let key = view.declaration.key();
                println!("{:<14}{:<32}{}", key.kind.as_str(), key.name.as_str(), view.version);
            }
            Ok(())
        }
    }
}

/// Prints an entry's view of its failure domain.
pub(crate) fn status(reply: &v1::StatusReply, format: operator::Format) -> Result<(), commands::CommandError> {
    let view = view::StatusView::from(reply);
    if format == operator::Format::Json {
        return daemon::print_line(&view);
    }
    println!("entry {} in {}", view.instance, view.failure_domain);
    println!(
        "revision {}  ready {}  leaving {}  platform in reach {}",
        view.revision, view.ready, view.leaving, view.platform_in_reach
    );
    println!(
        "{:<24}{:<10}{:>9}{:>11}{:>9}{:>8}{:>7}",
        "AGENT", "STANDING", "REVISION", "SILENT MS", "RUNNING", "QUEUED", "SLOTS"
    );
    for a in &view.agents {
        println!(
            "{:<24}{:<10}{:>9}{:>11}{:>9}{:>8}{:>7}",
            a.endpoint, a.standing, a.revision, a.silent_ms, a.running, a.queued, a.slots
        );
    }
    println!(
        "{:<24}{:<24}{:>9}{:>11}",
        "ENTRY", "FAILURE DOMAIN", "REVISION", "SILENT MS"
    );
    for e in &view.entries {
        println!(
            "{:<24}{:<24}{:>9}{:>11}",
            e.instance, e.failure_domain, e.revision, e.silent_ms
        );
    }
    Ok(())
}

/// Prints the result of a drain.
pub(crate) fn drain(reply: v1::DrainReply, format: operator::Format) -> Result<(), commands::CommandError> {
    let view = view::DrainView { running: reply.running };
    match format {
        operator::Format::Json => daemon::print_line(&view),
        operator::Format::Table => {
            println!("leaving; {} calls still run there", view.running);
            Ok(())
        }
    }
}

/// Prints recorded decisions.
pub(crate) fn decisions(reply: &v1::ExplainReply, format: operator::Format) -> Result<(), commands::CommandError> {
    let views: Vec<view::DecisionView> = reply.decisions.iter().map(view::DecisionView::from).collect();
    match format {
        operator::Format::Json => daemon::print_line(&views),
        operator::Format::Table => {
            println!("{:>9}  {:<11}{:<18}{:<18}CAUSE", "AGE MS", "ACTION", "CALL", "ENDPOINT");
            for d in &views {
                println!(
                    "{:>9}  {:<11}{:<18}{:<18}{}",
                    d.age_ms, d.action, d.call, d.endpoint, d.cause
                );
            }
            Ok(())
        }
    }
}

/// Prints a value as YAML.
pub(crate) fn yaml<T>(value: &T) -> Result<(), commands::CommandError>
where
    T: Serialize,
{
    let text = serde_yaml_ng::to_string(value)
        .map_err(|e| commands::CommandError::failure(error::OperatorError::Output(e)))?;
    print!("{text}");
    Ok(())
}
