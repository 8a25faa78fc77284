//! Published step model of a model engine.

use std::time::Duration;

/// How long an engine's passes take. Ranks of a group run each pass together.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    /// Requests that one rank writes at once.
    pub slots: u32,
    /// Token steps in a pass that writes; also the tokens of one event.
    pub steps_per_pass: u32,
    /// Base time of a token step, in ms.
    pub step_ms: f64,
    /// Added to a step by each request that is writing, in ms.
    pub per_request_ms: f64,
    /// Prompt tokens read in a second.
    pub read_per_s: f64,
    /// Mean prompt and answer, in tokens.
    pub usual_prompt: f64,
    /// Mean answer, in tokens.
    pub usual_answer: f64,
    /// Expert layout of a group.
    pub experts: Option<ExpertModel>,
}

/// Experts of a group.
#[derive(Debug, Clone, PartialEq)]
pub struct ExpertModel {
    /// Sets of layers with a map each.
    pub sets: u32,
    /// Experts of a set.
    pub experts: u32,
    /// Most experts of a set that one rank holds.
    pub places: u32,
    /// Most experts of a set that one order may bring to a rank.
    pub spare: u32,
    /// Share of the token work that experts do, 0 to 1.
    pub share: f64,
}

impl EngineModel {
    /// Time between two events of a stream when each rank writes `writing` requests and the most loaded rank's experts
    /// do `skew` times the mean.
    pub fn event_gap(&self, writing: f64, skew: f64) -> Duration {
        let share = self.experts.as_ref().map_or(0.0, |e| e.share);
        let step = self.step_ms + self.per_request_ms * writing;
        let stretched = step * (1.0 - share + share * skew.max(1.0));
        Duration::from_secs_f64(stretched * f64::from(self.steps_per_pass) / 1_000.0)
    }
}
