//! Faults in settings files are reported with the path and the line of the setting.

use rstest::rstest;
use sycamorestile_core::config::declaration;
use sycamorestile_node::settings::agent_settings;
use sycamorestile_node::settings::declarations_file;
use sycamorestile_node::settings::entry_settings;
use sycamorestile_node::settings::fault;
use sycamorestile_node::settings::load;

const ENTRY: &str = "role: entry
instance: entry-1
failure_domain: hu-1
callers: 127.0.0.1:0
operators: 127.0.0.1:0
control: 127.0.0.1:0
metrics: 127.0.0.1:0
platform: 127.0.0.1:7000
";

const DECLARATIONS: &str = "services:
- name: assistant
  kind: model
  routes: [{ path: /v1, methods: [POST] }]
groups:
- name: drafts
  service: assistant
  failure_domain: hu-1
  ranks: 2
  experts: 8
  slots: 4
endpoints:
- name: a
  service: assistant
  failure_domain: hu-1
  address: 127.0.0.1:1
  slots: 4
  rank_of: { group: drafts, rank: 0 }
";

fn lines(faults: &[fault::SettingFault]) -> Vec<(Option<usize>, &str)> {
    faults.iter().map(|f| (f.line, f.path.as_str())).collect()
}

#[test]
fn valid_settings_are_accepted() {
    let entry = load::parse(ENTRY, entry_settings::EntrySettings::validate).expect("valid settings");
    assert_eq!(entry.instance.as_str(), "entry-1");
    let file: declaration::Declarations =
        load::parse(DECLARATIONS, declarations_file::validate).expect("valid declarations");
    assert_eq!(file.endpoints.len(), 1);
}

#[rstest]
#[case::unknown_key("platform: 127.0.0.1:7000", "platform: 127.0.0.1:7000\nplatfrom: x", 9, "platfrom")]
#[case::bad_name("instance: entry-1", "instance: No Name", 2, "instance")]
#[case::no_address("callers: 127.0.0.1:0", "callers: localhost:0", 4, "callers")]
#[case::port_zero("platform: 127.0.0.1:7000", "platform: 127.0.0.1:0", 8, "platform")]
#[case::wrong_role("role: entry", "role: agent", 1, "role")]
#[case::out_of_bounds("role: entry", "role: entry\nmax_calls: 0", 2, "max_calls")]
fn invalid_setting_is_reported_with_its_line(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] line: usize,
    #[case] path: &str,
) {
    let text = ENTRY.replace(valid, invalid);
    let faults = load::parse(&text, entry_settings::EntrySettings::validate).unwrap_err();
    assert_eq!(lines(&faults), [(Some(line), path)], "{faults:?}");
}

#[rstest]
#[case::too_few_slots("slots: 4\nendpoints", "slots: 3\nendpoints", 6, "groups[0]")]
#[case::no_ranks("ranks: 2", "ranks: 0", 6, "groups[0]")]
#[case::rank_outside("rank: 0", "rank: 2", 13, "endpoints[0]")]
#[case::other_domain(
    "failure_domain: hu-1\n  address",
    "failure_domain: hu-2\n  address",
    13,
    "endpoints[0]"
)]
#[case::unknown_group("group: drafts", "group: other", 13, "endpoints[0]")]
fn invalid_declaration_is_reported_with_its_line(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] line: usize,
    #[case] path: &str,
) {
    let text = DECLARATIONS.replace(valid, invalid);
    let faults = load::parse::<declaration::Declarations, _>(&text, declarations_file::validate).unwrap_err();
    assert_eq!(lines(&faults)[0], (Some(line), path), "{faults:?}");
}

#[test]
fn all_faults_of_a_file_are_reported() {
    let text = ENTRY.replace(
        "platform: 127.0.0.1:7000",
        "platform: 127.0.0.1:0\nmax_calls: 0\nextra: 1",
    );
    let faults = load::parse(&text, entry_settings::EntrySettings::validate).unwrap_err();
    assert_eq!(
        lines(&faults),
        [(Some(8), "platform"), (Some(9), "max_calls"), (Some(10), "extra")]
    );
}

#[test]
fn malformed_files_are_rejected_without_a_panic() {
    for text in ["", "- 1", "{", "role: [", "\u{0}", "a: b: c"] {
        assert!(
            load::parse(text, agent_settings::AgentSettings::validate).is_err(),
            "{text:?}"
        );
    }
}
