//! Counts of the crashes that a segment of a prompt may have caused.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::crash;
use crate::time;

/// Period within which crashes belong to one moment. They may have one cause and are not independent evidence.
pub(super) const MOMENT: Duration = Duration::from_millis(500);

/// What a segment may have caused.
pub(super) struct Tally {
    pub(super) segment: Arc<str>,
    /// Number of crashes.
    pub(super) crashes: usize,
    /// The moments at which an endpoint crashed, in order.
    pub(super) moments: Vec<time::Time>,
    /// The moments at which most of the endpoints that crashed had the segment, in order. A moment stands there as often as
    /// it counts.
    pub(super) blamed_at: Vec<time::Time>,
}

impl Tally {
    pub(super) fn new(segment: &Arc<str>) -> Self {
        Self {
            segment: Arc::clone(segment),
            crashes: 0,
            moments: Vec::new(),
            blamed_at: Vec::new(),
        }
    }
}

/// Counts what each segment may have caused, sorted by segment. `crashes` must be sorted by time. `is_suspect` tells which
/// suspects of a crash count, and `units` how often a moment counts at which so many of the crashes had a segment.
pub(super) fn count<S, U>(crashes: &[&crash::Crash], is_suspect: S, units: U) -> Vec<Tally>
where
    S: Fn(&Arc<str>, &crash::Crash) -> bool,
    U: Fn(usize) -> usize,
{
    // The segment, the time of the moment, its number of crashes and of those with the segment.
    let mut counts: Vec<(&Arc<str>, time::Time, usize, usize)> = Vec::new();
    let mut rest = crashes;
    while let Some(first) = rest.first() {
        let (moment, later) = rest.split_at(rest.partition_point(|c| c.at.since(first.at) <= MOMENT));
        rest = later;
        let mut suspects: Vec<&Arc<str>> = Vec::new();
        for &crash in moment {
            suspects.extend(crash.suspects.iter().filter(|s| is_suspect(s, crash)));
        }
        suspects.sort_unstable();
        let runs = suspects.chunk_by(|a, b| a == b);
        counts.extend(runs.map(|run| (run[0], first.at, moment.len(), run.len())));
    }
    counts.sort_by(|a, b| a.0.cmp(b.0));
    let of_segment = |run: &[(&Arc<str>, time::Time, usize, usize)]| {
        let mut tally = Tally::new(run[0].0);
        for &(_, at, of, count) in run {
            tally.crashes += count;
            tally.moments.push(at);
            // Most crashes of a moment have one cause, such as the loss of a failure domain.
            if 2 * count > of {
                tally.blamed_at.extend(std::iter::repeat_n(at, units(count)));
            }
        }
        tally
    };
    counts.chunk_by(|a, b| a.0 == b.0).map(of_segment).collect()
}
