//! Randomised test of the attempt queue against a model, and tests of its fair queue.

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

/// State of an attempt in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ModelState {
    Unknown,
    Waiting,
    Running,
    Refused,
    Ended,
}

struct Model {
    states: Vec<ModelState>,
    draining: bool,
}

impl Model {
    fn set(&mut self, id: u128, to: ModelState, seed: u64) {
        let from = self.states[id as usize];
        let allowed = match to {
            ModelState::Running => matches!(from, ModelState::Unknown | ModelState::Waiting) && !self.draining,
            ModelState::Waiting => from == ModelState::Unknown && !self.draining,
            ModelState::Refused => matches!(from, ModelState::Unknown | ModelState::Waiting | ModelState::Refused),
            ModelState::Ended => from == ModelState::Running,
            ModelState::Unknown => false,
        };
        assert!(
            allowed,
            "seed {seed}: attempt {id} went from {from:?} to {to:?}, draining {}",
            self.draining
        );
        self.states[id as usize] = to;
    }

    fn apply(&mut self, action: &attempt_queue::QueueAction, seed: u64) {
        match action {
            attempt_queue::QueueAction::Begin(id) => self.set(id.get(), ModelState::Running, seed),
            attempt_queue::QueueAction::Refuse(id, _) => self.set(id.get(), ModelState::Refused, seed),
        }
    }
}

#[test]
fn refused_attempts_never_begin_and_every_offer_is_decided() {
    const ATTEMPTS: u128 = 60;
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let slots = rng.random_range(1..5);
        let mut queue = attempt_queue::AttemptQueue::new(slots);
        let mut now = time::Time::ZERO;
        let mut model = Model {
            states: vec![ModelState::Unknown; ATTEMPTS as usize],
            draining: false,
        };
        for _ in 0..300 {
            now = now + Duration::from_millis(rng.random_range(0..20));
            let id = rng.random_range(0..ATTEMPTS);
            let attempt = attempt_id::AttemptId::new(id);
            match rng.random_range(0..10) {
                0..5 => match queue.offer(&offer(id, &mut rng, now), now) {
                    attempt_queue::OfferResult::Begin => model.set(id, ModelState::Running, seed),
                    attempt_queue::OfferResult::Wait => model.set(id, ModelState::Waiting, seed),
                    attempt_queue::OfferResult::Refuse(_) => model.set(id, ModelState::Refused, seed),
                    attempt_queue::OfferResult::Duplicate => assert!(matches!(
                        model.states[id as usize],
                        ModelState::Waiting | ModelState::Running | ModelState::Ended
                    )),
                },
                5..8 if model.states[id as usize] == ModelState::Running => {
                    queue.record_ended(attempt, now);
                    model.set(id, ModelState::Ended, seed);
                }
                8 if queue.cancel(attempt, now) == attempt_queue::AttemptState::NeverBegan => {
                    model.set(id, ModelState::Refused, seed);
                }
                9 if rng.random_bool(0.02) => {
                    let refused = queue.drain(now);
                    model.draining = true;
                    for action in &refused {
                        model.apply(action, seed);
                    }
                }
                _ => {}
            }
            while let Some(action) = queue.next_action(now) {
                model.apply(&action, seed);
            }
            let count = |state| model.states.iter().filter(|s| **s == state).count();
            assert!(count(ModelState::Running) <= slots as usize, "seed {seed}");
            assert_eq!(
                queue.in_flight(),
                count(ModelState::Running) + count(ModelState::Waiting),
                "seed {seed}"
            );
            assert_eq!(queue.load().running as usize, count(ModelState::Running), "seed {seed}");
        }
        // Every waiting attempt has begun or been refused once its deadline has passed.
        now = now + Duration::from_secs(10);
        while let Some(action) = queue.next_action(now) {
            model.apply(&action, seed);
        }
        assert!(!model.states.contains(&ModelState::Waiting), "seed {seed}");
    }
}

#[rstest]
#[case(1, 1)]
#[case(1, 3)]
fn a_flooding_organisation_does_not_delay_others(#[case] flood_weight: u32, #[case] small_weight: u32) {
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
    assert!(
        served_before <= 1,
        "{served_before} calls of the flooding organisation were served first"
    );
}

#[test]
fn organisations_are_served_in_proportion_to_their_weights() {
    let mut queue = fair_queue::FairQueue::new(10_000);
    for n in 0..300 {
        queue.push(class::Class::Standard, &org(0), 1, n).unwrap();
        queue.push(class::Class::Standard, &org(1), 2, 1_000 + n).unwrap();
    }
    let first: Vec<i32> = std::iter::from_fn(|| queue.pop()).take(300).collect();
    let heavy = first.iter().filter(|item| **item >= 1_000).count();
    assert!(
        (195..=205).contains(&heavy),
        "{heavy} of 300 calls served for the organisation with twice the weight"
    );
}

#[test]
fn urgent_classes_are_served_first_and_the_queue_is_bounded() {
    let mut queue = fair_queue::FairQueue::new(3);
    queue.push(class::Class::Batch, &org(0), 1, 3).unwrap();
    queue.push(class::Class::Standard, &org(0), 1, 2).unwrap();
    queue.push(class::Class::Interactive, &org(0), 1, 1).unwrap();
    assert_eq!(queue.push(class::Class::Interactive, &org(0), 1, 0), Err(0));
    assert_eq!(std::iter::from_fn(|| queue.pop()).collect::<Vec<_>>(), [1, 2, 3]);
}

#[test]
fn the_capacity_grows_with_the_number_of_slots() {
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
    assert_eq!(refused, 0, "16 attempts run and 128 wait, which is 8 per slot");
}
