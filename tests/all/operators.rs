//! Operators' changes are applied at most once, report their real result, and change nothing when applied again.

use std::process::Output;
use std::thread;

use crate::support::cluster;
use crate::support::process;

/// Runs `sycamorestile operator` against the first entry.
fn operator(cluster: &cluster::Cluster, args: &[&str]) -> Output {
    let addr = cluster.entries[0].process.addr("operators");
    let mut all = vec!["operator", "--addr", &addr, "--format", "json"];
    all.extend(args);
    process::run(&all)
}

fn json(output: &Output) -> serde_json::Value {
    let text = String::from_utf8_lossy(&output.stdout);
    serde_json::from_str(&text).unwrap_or_else(|e| panic!("{text:?} is not JSON: {e}"))
}

fn revision(cluster: &cluster::Cluster) -> u64 {
    cluster.status(0)["revision"]
        .as_u64()
        .expect("the revision is an integer")
}

fn organisation(burst: u32) -> String {
    format!("organisations:\n- name: raced\n  calls_per_second: 5\n  burst: {burst}\n")
}

#[test]
fn applying_an_exported_file_changes_nothing() {
    let cluster = cluster::Cluster::start(1);
    let before = revision(&cluster);
    let exported = operator(&cluster, &["export"]);
    assert!(exported.status.success());
    let file = cluster.write_file("exported.yaml", &String::from_utf8_lossy(&exported.stdout));
    let path = file.to_str().expect("the path is UTF-8");
    for _ in 0..2 {
        let applied = operator(&cluster, &["apply", path]);
        assert!(applied.status.success());
        assert_eq!(
            json(&applied),
            serde_json::json!({ "add": [], "replace": [], "remove": [] })
        );
    }
    assert_eq!(revision(&cluster), before);
}

#[test]
fn of_two_concurrent_changes_one_applies_and_the_other_reports_a_conflict() {
    let cluster = cluster::Cluster::start(1);
    let outputs: Vec<Output> = thread::scope(|scope| {
        let running: Vec<_> = (1..=2)
            .map(|n| {
                let cluster = &cluster;
                scope.spawn(move || {
                    let file = cluster.write_file(&format!("race-{n}.yaml"), &organisation(n));
                    let path = file.to_str().expect("the path is UTF-8");
                    operator(
                        cluster,
                        &["declare", "--seen", "0", "--change-id", &format!("race-{n}"), path],
                    )
                })
            })
            .collect();
        running
            .into_iter()
            .map(|thread| thread.join().expect("the operator does not panic"))
            .collect()
    });
    let (applied, rejected): (Vec<&Output>, Vec<&Output>) = outputs.iter().partition(|o| o.status.success());
    assert_eq!((applied.len(), rejected.len()), (1, 1), "{outputs:?}");
    let rejected = json(rejected[0]);
    assert_eq!(rejected["result"], "not-applied");
    assert_eq!(rejected["conflicts"][0]["object"], "organisation/raced", "{rejected}");
}

#[test]
fn a_change_with_a_lost_commit_response_is_applied_and_reported_once() {
    let cluster = cluster::Cluster::start(1);
    let before = revision(&cluster);
    let file = cluster.write_file("lost.yaml", &organisation(3));
    let path = file.to_str().expect("the path is UTF-8");
    cluster.set_platform_faults(r#"{"lose_answers":1}"#);
    let declared = json(&operator(&cluster, &["declare", "--change-id", "lost", path]));
    assert_eq!(
        (&declared["result"], &declared["revision"]),
        (&"applied".into(), &(before + 1).into()),
        "{declared}"
    );
    let looked_up = json(&operator(&cluster, &["get-change", "lost"]));
    assert_eq!(looked_up["revision"], before + 1, "{looked_up}");
    let repeated = json(&operator(&cluster, &["declare", "--change-id", "lost", path]));
    assert_eq!(
        (&repeated["result"], &repeated["revision"]),
        (&"applied".into(), &(before + 1).into()),
        "{repeated}"
    );
    assert_eq!(revision(&cluster), before + 1);
}

#[test]
fn a_platform_outage_rejects_changes_and_keeps_the_revision() {
    let cluster = cluster::Cluster::start(1);
    let before = revision(&cluster);
    cluster.set_platform_faults(r#"{"outage_ms":600000}"#);
    let file = cluster.write_file("out.yaml", &organisation(4));
    let declared = operator(&cluster, &["declare", file.to_str().expect("the path is UTF-8")]);
    assert_eq!(declared.status.code(), Some(1));
    assert_eq!(json(&declared)["result"], "not-applied");
    assert_eq!(revision(&cluster), before);
}
