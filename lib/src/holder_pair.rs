//! Choice between two holders of a group by their load.
//!
//! The first candidate is the holder that [`crate::holder_choice`] chooses without regard
//! to load, the second one is drawn by another hash from all reachable holders. Comparing
//! two candidates balances the load about as well as comparing all, and many senders with
//! the same reports do not all choose the same holder.

use std::time::Duration;

use crate::group_load::ExpectedWait;
use crate::holder_choice::Affinity;
use crate::holder_choice::Candidate;
use crate::holder_choice::choose;
use crate::peer_contact::Reachability;
use crate::placement::stable_hash;
use crate::statement_timing;

/// What a statement through a holder in another failure domain takes longer than through
/// one in the own domain: a round trip between domains of up to 3.4 ms one way, and the
/// time of both instances for the larger distance.
pub const FAR_PENALTY: Duration = Duration::from_millis(10);

/// The first candidate is kept unless its expected wait is longer by more than the
/// objective divided by this. Smaller differences are within the error of the estimate.
const MARGIN_DIVISOR: u32 = 10;

/// The holder of a choice by load.
#[derive(Clone, Copy, Debug)]
pub struct LoadChoice<'a> {
    /// The chosen holder.
    pub holder: &'a Candidate,
    /// Whether it was chosen for its load, in place of the one that would be chosen
    /// without regard to load.
    pub by_load: bool,
}

/// The wait with which a holder without a valid report counts after a refusal: half of the
/// most urgent objective. A holder that is known to have a longer queue may refuse by the
/// time the request arrives.
const UNKNOWN_WAIT: Duration = Duration::from_millis(50);

/// Chooses a holder by the expected waits, which `expected` returns for a candidate with
/// a valid report. Without reports the choice is that of [`choose`].
#[must_use]
pub fn choose_by_load<'a>(
    candidates: &'a [Candidate],
    affinity: &Affinity,
    objective: Duration,
    expected: impl Fn(&Candidate) -> Option<ExpectedWait>,
) -> Option<LoadChoice<'a>> {
    let first = choose(candidates, affinity)?;
    let better = better_than(first, candidates, affinity, objective, &expected);
    Some(LoadChoice { holder: better.unwrap_or(first), by_load: better.is_some() })
}

/// The second candidate, if a request is better sent there than to `first`: `first` is
/// expected to refuse it, or to serve it notably later.
///
/// For an account, only an expected refusal counts: each further holder needs connections
/// of the account.
#[must_use]
pub fn better_than<'a>(
    first: &Candidate,
    candidates: &'a [Candidate],
    affinity: &Affinity,
    objective: Duration,
    expected: impl Fn(&Candidate) -> Option<ExpectedWait>,
) -> Option<&'a Candidate> {
    if first.reachability != Reachability::Reachable {
        return None;
    }
    let first_wait = expected(first)?;
    let others = candidates.iter().filter(|candidate| candidate.record.id != first.record.id);
    let second = spare_among(others, affinity, &expected)?;
    let is_better = match (first_wait, affinity) {
        (ExpectedWait::Refused(_), _) => true,
        (ExpectedWait::Served(_), Affinity::Account(_) | Affinity::LargeAccount(_)) => false,
        (ExpectedWait::Served(wait), Affinity::Session(_)) => {
            let penalty = if second.near { Duration::ZERO } else { FAR_PENALTY };
            let margin = penalty + objective / MARGIN_DIVISOR;
            match expected(second) {
                Some(second_wait) => wait > second_wait.duration() + margin,
                // Nothing is known of the second one, but at the first one the request
                // would miss its objective.
                None => wait > statement_timing::max_wait(objective) + margin,
            }
        }
    };
    is_better.then_some(second)
}

/// The holder to try after one that refused: a reachable one that is not expected to
/// refuse. The one with the shortest expected wait is tried, since no third one will be.
/// `None` if there is none.
#[must_use]
pub fn spare_holder<'a>(
    candidates: &'a [Candidate],
    affinity: &Affinity,
    expected: impl Fn(&Candidate) -> Option<ExpectedWait>,
) -> Option<&'a Candidate> {
    let wait =
        |candidate: &Candidate| expected(candidate).map_or(UNKNOWN_WAIT, ExpectedWait::duration);
    let spare = || candidates.iter().filter(|candidate| is_spare(candidate, &expected));
    let shortest = spare().map(wait).min()?;
    spare_among(spare().filter(|candidate| wait(candidate) == shortest), affinity, &expected)
}

/// Whether a holder may have free capacity.
fn is_spare(candidate: &Candidate, expected: &impl Fn(&Candidate) -> Option<ExpectedWait>) -> bool {
    candidate.reachability == Reachability::Reachable
        && !candidate.recently_refused
        && !expected(candidate).is_some_and(ExpectedWait::is_refusal)
}

/// The holder that another hash than that of the first candidate draws from those that may
/// have free capacity.
fn spare_among<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    affinity: &Affinity,
    expected: &impl Fn(&Candidate) -> Option<ExpectedWait>,
) -> Option<&'a Candidate> {
    let key = match affinity {
        Affinity::Session(number) => number.to_string(),
        Affinity::Account(account) | Affinity::LargeAccount(account) => account.to_string(),
    };
    let spare = candidates.filter(|candidate| is_spare(candidate, expected));
    spare.max_by_key(|candidate| stable_hash(&["second", &key, &candidate.record.id]))
}

/// The backlogs of holders that are all expected to refuse a request.
#[derive(Clone, Debug)]
pub struct AllRefuse<'a> {
    /// The holder with the shortest backlog.
    pub shortest: &'a Candidate,
    /// Number of holders.
    pub holders: usize,
    shortest_wait: Duration,
    longest_wait: Duration,
}

/// Lowest Retry-After time: the usual time of one statement, the shortest in which a place
/// can become free.
const MIN_RETRY_AFTER: Duration = statement_timing::BUSY_PAUSE;

impl AllRefuse<'_> {
    /// The Retry-After time of a request that is refused at once. `random` is between 0
    /// and 1. It spreads the retries over the time that the backlogs need.
    #[must_use]
    pub fn retry_after(&self, random: f64) -> Duration {
        let spread = self.longest_wait.saturating_sub(self.shortest_wait);
        (self.shortest_wait + spread.mul_f64(random.clamp(0.0, 1.0))).max(MIN_RETRY_AFTER)
    }
}

/// Whether all holders that may be reachable are expected to refuse a request. `None` if
/// the load of one of them is unknown, or there is none.
#[must_use]
pub fn all_refuse<'a>(
    candidates: &'a [Candidate],
    expected: impl Fn(&Candidate) -> Option<ExpectedWait>,
) -> Option<AllRefuse<'a>> {
    let reachable = candidates.iter().filter(|c| c.reachability != Reachability::Unreachable);
    let mut all: Option<AllRefuse<'a>> = None;
    for candidate in reachable {
        let Some(ExpectedWait::Refused(wait)) = expected(candidate) else {
            return None;
        };
        let alone =
            AllRefuse { shortest: candidate, holders: 0, shortest_wait: wait, longest_wait: wait };
        let before = all.get_or_insert(alone);
        before.holders += 1;
        before.longest_wait = before.longest_wait.max(wait);
        if wait < before.shortest_wait {
            (before.shortest, before.shortest_wait) = (candidate, wait);
        }
    }
    all
}
