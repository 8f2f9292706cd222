//! The order in which the instances of a fleet are chosen for a group.
//!
//! The order is that of weighted rendezvous hashing, with the failure domains in turn: all
//! instances derive the same order from the same list, an instance comes first with a
//! probability according to its capacity, and an instance that joins or leaves moves only
//! the places behind its own.
//!
//! Only the first places of the order are of interest. They are found in one pass over the
//! instances, and most changes of the fleet leave them as they are, which
//! [`GroupRanking::admits`] and [`GroupRanking::contains`] tell at the cost of one score.

use std::cmp::Ordering;
use std::collections::HashMap;

use crate::fleet::InstanceRecord;
use crate::id::FailureDomainId;
use crate::placement::StableHasher;

/// Computes the scores of instances for one group.
///
/// The probability that an instance has the highest score is proportional to its capacity.
#[derive(Clone, Copy, Debug)]
pub struct GroupScores(StableHasher);

impl GroupScores {
    /// Prepares the scores for a group.
    #[must_use]
    pub fn new(group: &str) -> Self {
        Self(StableHasher::new().with(&["holder", group]))
    }

    /// Score of an instance.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "53 bits of a hash are enough for an order")]
    pub fn of(&self, record: &InstanceRecord) -> f64 {
        let hash = self.0.with(&[&record.id]).value() >> 11;
        let uniform = (hash as f64 + 1.0) / (1_u64 << 53) as f64;
        f64::from(record.capacity_millicores.max(1)) / -uniform.ln()
    }
}

/// An instance with its score for a group.
#[derive(Clone, Debug)]
struct Scored {
    score: f64,
    record: InstanceRecord,
}

/// Order of two instances by score; the better one is less.
fn by_score(a: (f64, &InstanceRecord), b: (f64, &InstanceRecord)) -> Ordering {
    b.0.total_cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id))
}

/// Place of an instance among those of its failure domain, from 1 on, with its score. The
/// instances of lower turns are chosen first.
type Place<'a> = (usize, f64, &'a InstanceRecord);

fn by_place(a: &Place<'_>, b: &Place<'_>) -> Ordering {
    a.0.cmp(&b.0).then_with(|| by_score((a.1, a.2), (b.1, b.2)))
}

/// The instances that are chosen first for a group.
#[derive(Clone, Debug)]
pub struct GroupRanking {
    scores: GroupScores,
    /// How many instances are of interest.
    length: usize,
    /// The first instances, best first, each with its turn.
    first: Vec<(usize, Scored)>,
}

impl GroupRanking {
    /// Ranks the first `length` of `instances` for a group.
    #[must_use]
    pub fn new(group: &str, length: usize, instances: &[InstanceRecord]) -> Self {
        let scores = GroupScores::new(group);
        let mut domains: HashMap<&FailureDomainId, Vec<(f64, &InstanceRecord)>> = HashMap::new();
        for record in instances {
            insert_best(domains.entry(&record.failure_domain).or_default(), length, scores, record);
        }
        let mut places: Vec<Place<'_>> = domains
            .into_values()
            .flat_map(|best| best.into_iter().enumerate())
            .map(|(before, (score, record))| (before + 1, score, record))
            .collect();
        places.sort_by(by_place);
        places.truncate(length);
        let owned =
            |(turn, score, record): Place<'_>| (turn, Scored { score, record: record.clone() });
        Self { scores, length, first: places.into_iter().map(owned).collect() }
    }

    /// The instances that are chosen first, best first.
    pub fn first(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.first.iter().map(|(_, scored)| &scored.record)
    }

    /// Whether an instance is among the first ones.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.first().any(|record| *record.id == *id)
    }

    /// Whether an instance that joins would be among the first ones.
    #[must_use]
    pub fn admits(&self, joining: &InstanceRecord) -> bool {
        let Some((last_turn, last)) = self.first.last().filter(|_| self.is_full()) else {
            return self.length > 0;
        };
        let score = self.scores.of(joining);
        let is_before = |other: &Scored| {
            by_score((other.score, &other.record), (score, joining)) == Ordering::Less
        };
        let domain = &joining.failure_domain;
        let near = self.first.iter().filter(|(_, other)| other.record.failure_domain == *domain);
        let turn = 1 + near.filter(|(_, other)| is_before(other)).count();
        by_place(&(turn, score, joining), &(*last_turn, last.score, &last.record)) == Ordering::Less
    }

    fn is_full(&self) -> bool {
        self.first.len() >= self.length
    }
}

/// Inserts an instance into the best `length` of its failure domain, which are in order.
fn insert_best<'a>(
    best: &mut Vec<(f64, &'a InstanceRecord)>,
    length: usize,
    scores: GroupScores,
    record: &'a InstanceRecord,
) {
    let scored = (scores.of(record), record);
    if best.len() >= length && best.last().is_none_or(|last| by_score(*last, scored).is_lt()) {
        return;
    }
    let place = best.partition_point(|other| by_score(*other, scored).is_lt());
    best.insert(place, scored);
    best.truncate(length);
}

/// The instances of one failure domain in an order in which a better one than a given
/// instance is usually found early.
#[derive(Clone, Debug, Default)]
pub struct DomainRivals {
    rivals: Vec<InstanceRecord>,
}

impl DomainRivals {
    /// Selects the instances of the failure domain of `me`, without `me`.
    #[must_use]
    pub fn new(me: &InstanceRecord, instances: &[InstanceRecord]) -> Self {
        let is_rival = |record: &&InstanceRecord| {
            record.failure_domain == me.failure_domain && record.id != me.id
        };
        let mut rivals: Vec<_> = instances.iter().filter(is_rival).cloned().collect();
        rivals.sort_by_key(|record| std::cmp::Reverse(record.capacity_millicores));
        Self { rivals }
    }

    /// Whether `me` is among the first `length` of its failure domain for a group, and how
    /// many scores were computed to determine that. Without this, `me` is not among the
    /// first `length` of all instances.
    ///
    /// An instance that is not is usually recognized after a few scores, since the first
    /// `length` better ones decide.
    #[must_use]
    pub fn may_be_first(&self, me: &InstanceRecord, group: &str, length: usize) -> (bool, usize) {
        let scores = GroupScores::new(group);
        let own = (scores.of(me), me);
        let mut better = 0;
        for (index, rival) in self.rivals.iter().enumerate() {
            better += usize::from(by_score((scores.of(rival), rival), own).is_lt());
            if better >= length {
                return (false, index + 2);
            }
        }
        (true, self.rivals.len() + 1)
    }
}
