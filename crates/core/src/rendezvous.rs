//! Rendezvous hashing.
//!
//! Nodes that know the same members choose the same subset for a task without exchanging messages. When a member is
//! lost, only the tasks assigned to it move to other members.

use std::borrow;

use xxhash_rust::xxh3;

/// Returns the weight of `member` for `key`. The members with the highest weights are chosen.
pub fn weight<M>(key: &[u8], member: &M) -> u64
where
    M: borrow::Borrow<str>,
{
    let seed = xxh3::xxh3_64(member.borrow().as_bytes());
    xxh3::xxh3_64_with_seed(key, seed)
}

/// Returns the `count` members with the highest weights for `key`, in descending order of weight.
pub fn choose<'a, I, M>(key: &[u8], members: I, count: usize) -> Vec<&'a M>
where
    I: IntoIterator<Item = &'a M>,
    M: borrow::Borrow<str> + Ord + 'a,
{
    let mut ranked: Vec<(u64, &M)> = members.into_iter().map(|m| (weight(key, m), m)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, m)| m).collect()
}
