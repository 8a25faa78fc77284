//! The queue under random orders: what was refused never begins, and nothing is lost.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use sycamorestile_core::attempt_id;
use sycamorestile_core::attempt_queue;
use sycamorestile_core::class;
use sycamorestile_core::fair_queue;
use sycamorestile_core::name;
use sycamorestile_core::time;

fn org(n: u32) -> name::Name {
    name::Name::new(&format!("org-{n}")).unwrap()
}

fn offer(id: u128, rng: &mut ChaCha8Rng, now: time::Time) -> attempt_queue::AttemptOffer {
    attempt_queue::AttemptOffer {
        attempt: attempt_id::AttemptId::new(id),
        organisation: org(rng.random_range(0..4)),
        weight: rng.random_range(1..4),
        class: class::Class::ALL[rng.random_range(0..3)],
        deadline: now + Duration::from_millis(rng.random_range(0..500)),
        tokens: rng.random_bool(0.5).then_some(10),
    }
}

/// What the test knows of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Known {
    Nothing,
    Waiting,
    Running,
    Refused,
    Ended,
}

struct Model {
    known: Vec<Known>,
    left: bool,
}

impl Model {
    fn set(&mut self, id: u128, to: Known, seed: u64) {
        let was = self.known[id as usize];
        let allowed = match to {
            Known::Running => matches!(was, Known::Nothing | Known::Waiting) && !self.left,
            Known::Waiting => was == Known::Nothing && !self.left,
            Known::Refused => matches!(was, Known::Nothing | Known::Waiting | Known::Refused),
            Known::Ended => was == Known::Running,
            Known::Nothing => false,
        };
        assert!(
            allowed,
            "seed {seed}: attempt {id} went from {was:?} to {to:?}, left {}",
            self.left
        );
        self.known[id as usize] = to;
    }

    fn next(&mut self, next: &attempt_queue::QueueAction, seed: u64) {
        match next {
            attempt_queue::QueueAction::Begin(id) => self.set(id.get(), Known::Running, seed),
            attempt_queue::QueueAction::Refuse(id, _) => self.set(id.get(), Known::Refused, seed),
        }
    }
}

#[test]
fn what_is_refused_never_begins_and_nothing_is_lost() {
    const ATTEMPTS: u128 = 60;
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let slots = rng.random_range(1..5);
        let mut queue = attempt_queue::AttemptQueue::new(slots);
        let mut now = time::Time::ZERO;
        let mut model = Model {
            known: vec![Known::Nothing; ATTEMPTS as usize],
            left: false,
        };
        for _ in 0..300 {
            now = now + Duration::from_millis(rng.random_range(0..20));
            let id = rng.random_range(0..ATTEMPTS);
            let attempt = attempt_id::AttemptId::new(id);
            match rng.random_range(0..10) {
                0..5 => match queue.offer(&offer(id, &mut rng, now), now) {
                    attempt_queue::OfferResult::Begin => model.set(id, Known::Running, seed),
                    attempt_queue::OfferResult::Wait => model.set(id, Known::Waiting, seed),
                    attempt_queue::OfferResult::Refuse(_) => model.set(id, Known::Refused, seed),
                    attempt_queue::OfferResult::Duplicate => assert!(matches!(
                        model.known[id as usize],
                        Known::Waiting | Known::Running | Known::Ended
                    )),
                },
                5..8 if model.known[id as usize] == Known::Running => {
                    queue.record_ended(attempt, now);
                    model.set(id, Known::Ended, seed);
                }
                8 if queue.cancel(attempt, now) == attempt_queue::AttemptState::NeverBegan => {
                    model.set(id, Known::Refused, seed);
                }
                9 if rng.random_bool(0.02) => {
                    let refused = queue.drain(now);
                    model.left = true;
                    for next in &refused {
                        model.next(next, seed);
                    }
                }
                _ => {}
            }
            while let Some(next) = queue.next_action(now) {
                model.next(&next, seed);
            }
            let count = |known| model.known.iter().filter(|k| **k == known).count();
            assert!(count(Known::Running) <= slots as usize, "seed {seed}");
            assert_eq!(
                queue.in_flight(),
                count(Known::Running) + count(Known::Waiting),
                "seed {seed}"
            );
            assert_eq!(queue.load().running as usize, count(Known::Running), "seed {seed}");
        }
        // Everything that waits is answered by the latest when its time is up.
        now = now + Duration::from_secs(10);
        while let Some(next) = queue.next_action(now) {
            model.next(&next, seed);
        }
        assert!(!model.known.contains(&Known::Waiting), "seed {seed}");
    }
}

#[rstest]
#[case(1, 1)]
#[case(1, 3)]
fn a_small_organisation_is_not_held_up_by_a_flooding_one(#[case] flood_weight: u32, #[case] small_weight: u32) {
    let mut queue = fair_queue::FairQueue::new(10_000);
    for n in 0..1_000 {
        queue.push(class::Class::Standard, &org(0), flood_weight, n).unwrap();
    }
    queue
        .push(class::Class::Standard, &org(1), small_weight, 9_999)
        .unwrap();
    let served_before = std::iter::from_fn(|| queue.pop())
        .position(|item| item == 9_999)
        .unwrap();
    assert!(served_before <= 1, "{served_before} calls of the flood went first");
}

#[test]
fn shares_follow_weights() {
    let mut queue = fair_queue::FairQueue::new(10_000);
    for n in 0..300 {
        queue.push(class::Class::Standard, &org(0), 1, n).unwrap();
        queue.push(class::Class::Standard, &org(1), 2, 1_000 + n).unwrap();
    }
    let first: Vec<i32> = std::iter::from_fn(|| queue.pop()).take(300).collect();
    let heavy = first.iter().filter(|item| **item >= 1_000).count();
    assert!((195..=205).contains(&heavy), "{heavy} of 300 for a weight of 2 to 1");
}

#[test]
fn classes_are_served_by_urgency_and_the_queue_is_bounded() {
    let mut queue = fair_queue::FairQueue::new(3);
    queue.push(class::Class::Batch, &org(0), 1, 3).unwrap();
    queue.push(class::Class::Standard, &org(0), 1, 2).unwrap();
    queue.push(class::Class::Interactive, &org(0), 1, 1).unwrap();
    assert_eq!(queue.push(class::Class::Interactive, &org(0), 1, 0), Err(0));
    assert_eq!(std::iter::from_fn(|| queue.pop()).collect::<Vec<_>>(), [1, 2, 3]);
}

#[test]
fn the_queue_grows_with_the_declared_slots() {
    let mut queue = attempt_queue::AttemptQueue::new(1);
    queue.set_slots(16);
    let now = time::Time::ZERO;
    let offered = (0..144).map(|id| {
        queue.offer(
            &attempt_queue::AttemptOffer {
                attempt: attempt_id::AttemptId::new(id),
                organisation: org(0),
                weight: 1,
                class: class::Class::Standard,
                deadline: now + Duration::from_secs(30),
                tokens: None,
            },
            now,
        )
    });
    let refused = offered
        .filter(|o| matches!(o, attempt_queue::OfferResult::Refuse(_)))
        .count();
    assert_eq!(refused, 0, "16 run and 8 wait for each of them");
}
