//! Highest-random-weight hashing of job ids over the entries (Thaler and Ravishankar, 1998).

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control::Member;
use crate::job::Id;

/// Returns the member that coordinates the job, `None` if there is no member.
pub fn coordinator<'a, I>(members: I, id: &Id) -> Option<&'a Member>
where
    I: IntoIterator<Item = &'a Member>,
{
    members
        .into_iter()
        .max_by_key(|member| (weight(&member.name, id.as_bytes()), &member.name))
}

/// Returns the weight of a key at a member; each member has its own order of the keys.
pub fn weight(member: &str, key: &[u8]) -> u64 {
    xxh3_64_with_seed(key, xxh3_64_with_seed(member.as_bytes(), 0))
}
