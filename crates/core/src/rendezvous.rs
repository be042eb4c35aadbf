//! Rendezvous (highest random weight) hashing of job ids over the entries (Thaler and Ravishankar,
//! 1998). When a member joins or leaves, only the ids that it coordinates move.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control::Member;
use crate::job::Id;

/// Returns the member that coordinates the job, `None` if there are no members. Of two equal
/// weights the member with the greater name wins, so that all entries agree.
pub fn coordinator<'a, I>(members: I, id: &Id) -> Option<&'a Member>
where
    I: IntoIterator<Item = &'a Member>,
{
    members
        .into_iter()
        .max_by_key(|member| (weight(&member.name, id.as_bytes()), &member.name))
}

/// Returns the pseudorandom weight of a key at a member; the member with the highest weight is
/// responsible for the key.
pub fn weight(member: &str, key: &[u8]) -> u64 {
    xxh3_64_with_seed(key, xxh3_64_with_seed(member.as_bytes(), 0))
}
