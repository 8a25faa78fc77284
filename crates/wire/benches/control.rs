//! Measures how the cost of the control plane grows with its size, for `docs/CAPACITY.md`.

#[path = "../tests/domain/mod.rs"]
mod domain;

use std::time::{Duration, Instant};

use domain::Size;

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process status is readable");
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS:"))
        .expect("the status has a resident size");
    line.split_whitespace()
        .nth(1)
        .expect("the line has a value")
        .parse()
        .expect("the value is a number")
}

fn max(sorted: &[u64]) -> u64 {
    sorted.last().copied().unwrap_or(0)
}

fn median(sorted: &[u64]) -> u64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or(0)
}

fn main() {
    // Runs first, while the heap is empty.
    measure_declarations();
    println!("one failure domain; entries and agents are counted within it");
    for (nodes, entries, agents) in [(8, 3, 5), (40, 2, 30), (200, 10, 150), (800, 40, 600)] {
        let size = Size {
            entries,
            agents,
            calling_organisations: 0,
            length: Duration::from_secs(60),
            changes: 10,
        };
        let cost = domain::simulate(size, 1);
        println!(
            "{nodes:>4} nodes: {entries:>3} entries {agents:>4} agents  entry {:>8.0} B/s {:>7.1} msg/s {:>7.4} % core  agent {:>7.0} B/s  platform {:>5.1} reads/s  in force at entries {} ms median {} ms at most, at agents {} ms median {} ms at most",
            cost.entry_bytes,
            cost.entry_messages,
            cost.entry_core_share * 100.0,
            cost.agent_bytes,
            cost.platform_reads,
            median(&cost.entries_in_force_ms),
            max(&cost.entries_in_force_ms),
            median(&cost.agents_in_force_ms),
            max(&cost.agents_in_force_ms),
        );
    }
}

/// Measures the memory of declarations and the time to copy them, up to the target size.
fn measure_declarations() {
    // Keeps all declarations alive, so that the memory of one size is not reused for the next.
    let mut kept = Vec::new();
    for (organisations, endpoints) in [(1_000, 600), (5_000, 3_000), (20_000, 12_000)] {
        let before = resident_kb();
        let config = domain::declarations(organisations, endpoints);
        let after = resident_kb();
        let started = Instant::now();
        let copy = config.clone();
        let copied = started.elapsed();
        println!(
            "{organisations:>6} organisations {endpoints:>6} endpoints: {:>6} KB resident, a copy takes {:.2} ms",
            after.saturating_sub(before),
            copied.as_secs_f64() * 1e3,
        );
        kept.push((config, copy));
    }
    assert_eq!(kept.len(), 3);
}
