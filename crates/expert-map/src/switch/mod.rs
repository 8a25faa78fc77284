//! Switches all ranks of a group to a new map at one step.
//!
//! A group can run a step only if all of its ranks take part, so agreement of all ranks is available exactly when it is
//! needed. The switch therefore requires no quorum, no store and no clock:
//!
//! 1. `Prepare`: each rank loads the weights of the new map in addition to the active ones. This may take long and may
//!    be aborted.
//! 2. `Arm` for step N: each rank promises not to start step N without a commit.
//! 3. `Commit`, once *all* ranks are armed: step N runs on the new map. N is chosen far enough ahead for the commits to
//!    arrive before it, so that no rank has to wait in the normal case.
//!
//! After the loss of a coordinator, its successor has all ranks promise a higher fencing token, which rejects all
//! delayed orders of the lost coordinator. If any rank holds a commit, the successor commits the remaining ranks;
//! otherwise it disarms all of them. A replaced rank has no state and starts no step until the coordinator has restored
//! its state from the other ranks.

pub mod coordinator;
pub mod fencing_token;
pub mod order;
pub mod rank;
pub mod rank_state;
pub mod reply;
pub mod step;
pub mod version;
