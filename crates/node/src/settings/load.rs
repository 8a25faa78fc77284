//! Deserializes and validates a YAML file and locates the line of each fault.

use std::path::Path;

use marked_yaml::types::Node;
use serde::de::DeserializeOwned;

use crate::settings::fault;

/// Reads `file` and validates it with `check`.
///
/// # Errors
///
/// Returns a [`fault::SettingsError`] that contains every fault found.
pub fn load<T, F>(file: &Path, check: F) -> Result<T, fault::SettingsError>
where
    T: DeserializeOwned,
    F: Fn(&T) -> Vec<fault::SettingFault>,
{
    let text = std::fs::read_to_string(file).map_err(|source| fault::SettingsError::Unreadable {
        file: file.to_owned(),
        source,
    })?;
    parse(&text, check).map_err(|faults| fault::SettingsError::Invalid {
        file: file.to_owned(),
        faults,
    })
}

/// Parses `text` and validates it with `check`.
///
/// # Errors
///
/// Returns every fault found, sorted by line.
pub fn parse<T, F>(text: &str, check: F) -> Result<T, Vec<fault::SettingFault>>
where
    T: DeserializeOwned,
    F: Fn(&T) -> Vec<fault::SettingFault>,
{
    let mut faults = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let document = serde_yaml_ng::Deserializer::from_str(text);
    let tracked = serde_path_to_error::Deserializer::new(document, &mut track);
    let unknown = |path: serde_ignored::Path<'_>| {
        let message = "unknown setting; remove it or check its spelling";
        faults.push(fault::SettingFault::new(bracket_indices(&path.to_string()), message));
    };
    let value: Result<T, serde_yaml_ng::Error> = serde_ignored::deserialize(tracked, unknown);
    match value {
        Ok(value) => {
            faults.extend(check(&value));
            set_lines(text, &mut faults);
            if faults.is_empty() { Ok(value) } else { Err(faults) }
        }
        Err(error) => {
            let path = track.path().to_string();
            let mut fault =
                fault::SettingFault::new(if path == "." { "" } else { &path }, error_message(&error, &path));
            fault.line = find_line(text, &path).or_else(|| error.location().map(|l| l.line()));
            faults.push(fault);
            set_lines(text, &mut faults);
            Err(faults)
        }
    }
}

/// Returns the parser's message without path and location, which are reported separately.
fn error_message(error: &serde_yaml_ng::Error, path: &str) -> String {
    let message = error.to_string();
    let message = message.strip_prefix(&format!("{path}: ")).unwrap_or(&message);
    message.split(" at line ").next().unwrap_or_default().to_owned()
}

/// Converts a path such as `endpoints.0.slots` to `endpoints[0].slots`.
fn bracket_indices(path: &str) -> String {
    let mut text = String::new();
    for part in path.split('.') {
        if part.bytes().all(|b| b.is_ascii_digit()) {
            text.push('[');
            text.push_str(part);
            text.push(']');
        } else {
            if !text.is_empty() {
                text.push('.');
            }
            text.push_str(part);
        }
    }
    text
}

fn find_line(text: &str, path: &str) -> Option<usize> {
    let root = marked_yaml::parse_yaml(0, text).ok()?;
    line_of(&root, path)
}

fn set_lines(text: &str, faults: &mut [fault::SettingFault]) {
    for fault in faults.iter_mut() {
        if fault.line.is_none() {
            fault.line = find_line(text, &fault.path);
        }
    }
    faults.sort_by_key(|f| f.line.unwrap_or(0));
}

/// Returns the line of the setting at `path`, or of its nearest ancestor in the file.
fn line_of(root: &Node, path: &str) -> Option<usize> {
    let dotted = path.replace('[', ".").replace(']', "");
    let mut node = root;
    let mut line = node.span().start().map(marked_yaml::Marker::line);
    for part in dotted.split('.').filter(|part| !part.is_empty() && *part != "?") {
        let next = match node {
            Node::Mapping(map) => {
                let pair = map.iter().find(|(key, _)| key.as_str() == part);
                line = pair
                    .and_then(|(key, _)| key.span().start())
                    .map(marked_yaml::Marker::line)
                    .or(line);
                pair.map(|(_, value)| value)
            }
            Node::Sequence(list) => part.parse().ok().and_then(|index: usize| list.get(index)),
            Node::Scalar(_) => None,
        };
        let Some(next) = next else { break };
        if matches!(node, Node::Sequence(_)) {
            line = next.span().start().map(marked_yaml::Marker::line).or(line);
        }
        node = next;
    }
    line
}
