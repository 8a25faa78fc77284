//! Changing all ranks of a group to a new map at one step.
//!
//! A group can step only if all of its ranks do, so an agreement of all ranks is available exactly when it is of use.
//! The switch therefore needs no quorum, no store and no clock:
//!
//! 1. `Prepare`: each rank loads the new map's weights beside the old ones. May take long, may be abandoned.
//! 2. `Arm` for step N: each rank promises not to begin step N without a commit.
//! 3. `Commit`, once *all* ranks are armed: step N runs on the new map. N lies far enough ahead for the commits to
//!    arrive first, so nobody waits in the ordinary case.
//!
//! When a coordinator is lost, another one has all ranks promise a higher number, which shuts out every late order of the
//! old one. If any rank holds a commit the successor commits the rest, else it disarms them. A rank that was replaced
//! has no state and begins no step until the coordinator has restored it from the others.

pub mod coordinator;
pub mod fencing_token;
pub mod order;
pub mod rank;
pub mod rank_state;
pub mod reply;
pub mod step;
pub mod version;
