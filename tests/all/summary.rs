//! The `summary` command on logs of a gateway.

use std::io::Write;
use std::process::Command;

use crate::support::process;

/// Lines of a gateway, with text before some, one that is cut off and one of another kind.
const LOG: &str = r#"  1.50 front-1 {"msg":"request ended","kind":"stream","reason":"answered","last":"none","first_ms":150,"longest_pause_ms":60}
{"msg":"request ended","kind":"stream","reason":"answered","last":"none","first_ms":150,"longest_pause_ms":131}
{"msg":"request ended","kind":"stream","reason":"answered","last":"none","first_ms":500,"longest_pause_ms":80}
{"msg":"request ended","kind":"stream","reason":"no-endpoint","last":"connection timed out","first_ms":null,"longest_pause_ms":0}
{"msg":"request refused","reason":"keys-unconfirmed","status":503}
{"msg":"attempt failed","why":"no answer in time"}
{"msg":"request en
"#;

#[test]
fn summary_counts_late_streams_and_other_ends() {
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file");
    file.write_all(LOG.as_bytes()).expect("the file is written");
    let output = Command::new(process::PROGRAM)
        .args(["summary", "--json"])
        .arg(file.path())
        .output()
        .expect("the program runs");
    assert!(output.status.success(), "{output:?}");
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON output");
    assert_eq!(json["on_time"], 1);
    assert_eq!(json["long_pause"], 1);
    assert_eq!(json["late_first_event"], 1);
    assert_eq!(json["late_and_long_pause"], 0);
    assert_eq!(json["longest_pauses"]["130"], 1);
    assert_eq!(json["others"]["stream no-endpoint (last: connection timed out)"], 1);
    assert_eq!(json["others"]["keys-unconfirmed (last: )"], 1);
    assert_eq!(json["unreadable_lines"], 1);
}

#[test]
fn summary_of_a_missing_file_is_a_usage_error() {
    let output = Command::new(process::PROGRAM)
        .args(["summary", "no-such-file.log"])
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("no-such-file.log"),
        "{output:?}"
    );
}
