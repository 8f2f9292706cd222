//! Placement: which instance should own which database, by rendezvous hashing.

use std::hash::Hasher;

use crate::id::FailureDomainId;
use crate::id::InstanceId;

/// An instance that can own databases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the instance.
    pub id: InstanceId,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomainId,
}

/// FNV-1a hasher. All instances must compute the same order from the same list, and
/// unlike the hasher of `std`, FNV-1a is the same in all versions and on all
/// machines.
#[derive(Clone, Copy, Debug)]
pub struct StableHasher(u64);

impl StableHasher {
    /// Creates the hasher of an empty sequence.
    #[must_use]
    pub fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    /// Appends strings to the sequence.
    #[must_use]
    pub fn with(mut self, parts: &[&str]) -> Self {
        for part in parts {
            self.write(part.as_bytes());
            self.write(&[0xff]);
        }
        self
    }

    /// The hash of the sequence.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.finish()
    }
}

impl Default for StableHasher {
    fn default() -> Self {
        Self::new()
    }
}

impl Hasher for StableHasher {
    fn finish(&self) -> u64 {
        // The final mixing step is needed because FNV alone yields similar high
        // bits for short keys.
        let mut value = self.0;
        value ^= value >> 33;
        value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
        value ^= value >> 33;
        value
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 ^= u64::from(*byte);
            self.0 = self.0.wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Hashes a sequence of strings. The result is the same on every instance.
#[must_use]
pub fn stable_hash(parts: &[&str]) -> u64 {
    StableHasher::new().with(parts).value()
}

/// Orders the candidates for `key`, best first, by rendezvous hashing.
///
/// Candidates in `preferred`, the failure domain of the primary, come first, since
/// each write travels from the owner to the primary. If an instance fails, only the
/// databases that it was first for move.
#[must_use]
pub fn rank(
    key: &str,
    candidates: &[Candidate],
    preferred: Option<&FailureDomainId>,
) -> Vec<InstanceId> {
    let mut scored: Vec<_> = candidates
        .iter()
        .map(|candidate| {
            let near = preferred == Some(&candidate.failure_domain);
            let score = stable_hash(&[key, &candidate.id]);
            (near, score, candidate.id.clone())
        })
        .collect();
    scored.sort_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, _, id)| id).collect()
}
