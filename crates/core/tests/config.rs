//! Replication of the configuration: revisions never decrease, all nodes converge, and conflicting edits are rejected.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_core::config::change;
use sycamorestile_core::config::declaration;
use sycamorestile_core::config::organisation;
use sycamorestile_core::config::state;
use sycamorestile_core::config::transaction;
use sycamorestile_core::entry_board;
use sycamorestile_core::name;
use sycamorestile_core::revision;
use sycamorestile_core::time;

fn name(text: &str) -> name::Name {
    name::Name::new(text).unwrap()
}

fn put_edit(org: u32, burst: f64) -> change::Edit {
    change::Edit::Put(declaration::Declaration::Organisation(organisation::Organisation {
        name: name(&format!("org-{org}")),
        calls_per_second: 1.0,
        burst,
        weight: 1,
    }))
}

fn key(org: u32) -> declaration::ObjectKey {
    declaration::ObjectKey {
        kind: declaration::Kind::Organisation,
        name: name(&format!("org-{org}")),
    }
}

fn history(count: u64, rng: &mut ChaCha8Rng) -> Vec<change::Change> {
    let change = |revision| change::Change {
        revision: revision::Revision::new(revision),
        id: name(&format!("change-{revision}")),
        edits: vec![match rng.random_range(0..5) {
            0 => change::Edit::Remove(key(rng.random_range(0..10))),
            _ => put_edit(rng.random_range(0..10), revision as f64),
        }],
    };
    (1..=count).map(change).collect()
}

#[test]
fn no_order_of_changes_and_snapshots_decreases_the_revision() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let history = history(30, &mut rng);
        let mut states = vec![state::ConfigState::default()];
        for change in &history {
            let mut next = states[states.len() - 1].clone();
            next.apply(change);
            states.push(next);
        }
        let mut state = state::ConfigState::default();
        for _ in 0..200 {
            let before = state.revision();
            if rng.random_bool(0.8) {
                state.apply(&history[rng.random_range(0..history.len())]);
            } else {
                state.adopt_snapshot(&states[rng.random_range(0..states.len())]);
            }
            assert!(state.revision() >= before, "seed {seed}");
            assert_eq!(state, states[state.revision().get() as usize], "seed {seed}");
        }
    }
}

#[test]
fn entries_that_exchange_digests_converge_and_never_revert() {
    const NODES: usize = 12;
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let history = history(600, &mut rng);
        let domain = name("d");
        let mut now = time::Time::ZERO;
        let mut boards: Vec<entry_board::EntryBoard> = (0..NODES)
            .map(|n| entry_board::EntryBoard::new(name(&format!("entry-{n}")), domain.clone()))
            .collect();
        let mut accepted = 0;
        for round in 0..2_000 {
            now = now + Duration::from_millis(5);
            if round < 1_500 && accepted < history.len() && rng.random_bool(0.5) {
                // Entry 0 reads all changes from the platform that it doesn't have yet.
                let from = boards[0].config().revision().get() as usize;
                accepted += 1;
                boards[0].apply_local_changes(&history[from..accepted], now);
            }
            let mut pair: Vec<usize> = (0..NODES).collect();
            pair.shuffle(&mut rng);
            let (a, b) = (pair[0], pair[1]);
            let before = [boards[a].config().revision(), boards[b].config().revision()];
            let peer = boards[b].instance().clone();
            let digest = boards[a].digest(Some(&peer));
            let lost = rng.random_bool(0.1);
            if !lost {
                let reply = boards[b].reply_to_digest(&digest, now);
                if rng.random_bool(0.9) {
                    boards[a].apply_digest_reply(&reply, now);
                }
            }
            assert!(boards[a].config().revision() >= before[0], "seed {seed}");
            assert!(boards[b].config().revision() >= before[1], "seed {seed}");
        }
        let final_revision = boards[0].config().revision();
        for board in &boards {
            assert_eq!(board.config().revision(), final_revision, "seed {seed}");
            assert_eq!(board.config().objects(), boards[0].config().objects(), "seed {seed}");
        }
    }
}

#[test]
fn the_second_of_two_concurrent_edits_is_rejected_with_the_conflict() {
    let mut state = state::ConfigState::default();
    let guarded = |burst| transaction::GuardedEdit {
        edit: put_edit(1, burst),
        seen: Some(revision::Revision::default()),
    };
    let first = transaction::build(&state, name("a"), vec![guarded(1.0)]).unwrap();
    state.apply(&first);
    let second = transaction::build(&state, name("b"), vec![guarded(2.0)]);
    let Err(transaction::Rejection::Conflicts(conflicts)) = second else {
        panic!("the second edit was accepted too: {second:?}");
    };
    assert_eq!((conflicts[0].seen.get(), conflicts[0].found.get()), (0, 1));
    assert_eq!(conflicts[0].key, key(1));
}
