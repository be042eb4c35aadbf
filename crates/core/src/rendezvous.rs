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
        .max_by_key(|member| (weight(&member.name, id), &member.name))
}

fn weight(name: &str, id: &Id) -> u64 {
    let seed = xxh3_64_with_seed(name.as_bytes(), 0);
    xxh3_64_with_seed(id.as_bytes(), seed)
}
