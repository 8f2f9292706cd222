//! Groups whose voters are lost all at once, without a word, while others start elsewhere.

mod voting;

use std::time::Duration;

use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::Objection;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::primary_lease::PromiseTally;
use chervilwharf_lib::primary_lease::Readiness;
use chervilwharf_lib::primary_lease::RetireRequest;
use chervilwharf_lib::primary_lease::STORE_LEASE;
use chervilwharf_lib::primary_lease::StoredLease;
use chervilwharf_lib::primary_lease::readers_end;
use chervilwharf_lib::reader_admission::LeaseState;
use chervilwharf_lib::reader_admission::ReaderAdmission;
use chervilwharf_lib::revision::Era;
use chervilwharf_lib::voter_set::VoterSet;
use voting::lease_of;

const TERM: Term = 1;
const HEARTBEAT_MS: u64 = 500;

/// Time after which requests have to be served again: a quarter of the recovery time of 12 s
/// that the platform allows, so that a slow start of the machines has room in it.
const SERVED_WITHIN_MS: u64 = 3_000;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn ids(numbers: std::ops::Range<usize>) -> Vec<InstanceId> {
    numbers.map(|number| format!("i{number}").into()).collect()
}

fn stored() -> StoredLease {
    let voters = VoterSet::first(0, ids(0..6));
    StoredLease { voters, ..StoredLease::default() }
}

/// An instance that uses the primary and is no voter.
struct Newcomer {
    lease: PrimaryLease,
    admission: ReaderAdmission,
    rank: usize,
}

/// Newcomers, the voters that still answer them, and the record in the store.
struct World {
    newcomers: Vec<Newcomer>,
    voters: Vec<(InstanceId, PrimaryLease)>,
    stored: StoredLease,
    writes: usize,
}

impl World {
    /// A world in which the first `left` of six voters are left when six other instances start.
    fn new(left: usize) -> Self {
        let newcomer = |(rank, id): (usize, InstanceId)| {
            let mut lease = PrimaryLease::unknown(id.clone()).with_start(at(0));
            lease.adopt_voters(at(0), &stored().voters);
            lease.orders_known();
            Newcomer { lease, admission: ReaderAdmission::default(), rank }
        };
        let newcomers = ids(6..12).into_iter().enumerate();
        let voter = |id: InstanceId| {
            let lease = lease_of(&id, &stored().voters);
            (id, lease)
        };
        Self {
            newcomers: newcomers.map(newcomer).collect(),
            voters: ids(0..left).into_iter().map(voter).collect(),
            stored: stored(),
            writes: 0,
        }
    }

    /// Advances all newcomers to a time. Returns how many may use the primary then.
    fn step(&mut self, ms: u64) -> usize {
        let now = at(ms);
        let version = self.stored.voters.version;
        for newcomer in &mut self.newcomers {
            newcomer.lease.note_needed(now, TERM);
            if ms % HEARTBEAT_MS == 0 {
                for (id, voter) in &mut self.voters {
                    if let Some(retired) = voter.grant(now, &"newcomer".into(), TERM, version) {
                        newcomer.lease.granted(id, now, retired, 0, version);
                    }
                }
                newcomer.lease.record_store_grant(now, now, 0, &self.stored);
            }
            let state = LeaseState {
                missing_for: newcomer.lease.missing_for(now, TERM),
                is_readable: self.stored.retired < TERM,
                is_voted: newcomer.lease.holds_from_voters(now, TERM),
            };
            let admits = self.stored.admits_readers;
            let change = newcomer.admission.tick(now, admits, state, Some(newcomer.rank));
            if let Some(admits_readers) = change {
                self.stored.admits_readers = admits_readers;
                self.writes += 1;
            }
        }
        self.newcomers.iter().filter(|newcomer| newcomer.lease.holds(now, TERM)).count()
    }
}

/// Guards against a group that nobody serves for a minute because all its voters were killed.
#[test]
fn test_primary_is_used_soon_after_all_voters_were_lost() {
    let mut world = World::new(0);
    for ms in (0..60_000).step_by(100) {
        let served = world.step(ms);
        assert!(ms < SERVED_WITHIN_MS || served == 6, "{served} instances serve at {ms} ms");
    }
    assert_eq!(world.writes, 1);
}

/// Guards against instances that are refused by the voters that are left, which are too few.
#[test]
fn test_primary_is_used_soon_after_most_voters_were_lost() {
    for left in 1..3 {
        let mut world = World::new(left);
        for ms in (0..20_000).step_by(100) {
            let served = world.step(ms);
            assert!(ms < SERVED_WITHIN_MS || served == 6, "{left} left: {served} at {ms} ms");
        }
    }
}

/// Guards against writes and reads of the store, and slower replacements, on a calm day.
#[test]
fn test_readers_are_admitted_only_while_voters_grant_no_lease() {
    let mut world = World::new(3);
    for ms in (0..20_000).step_by(100) {
        world.step(ms);
    }
    assert_eq!(world.writes, 0, "half of the voters grant the lease");
    world.stored.admits_readers = true;
    let stopped = (20_000..60_000).step_by(100).find(|ms| {
        world.step(*ms);
        !world.stored.admits_readers
    });
    assert!(stopped.is_some_and(|ms| ms <= 32_000), "stopped at {stopped:?}");
}

fn retire_request(written_era: Option<Era>) -> RetireRequest {
    RetireRequest {
        holder: "i1".into(),
        life: 1,
        term: TERM,
        token: 2,
        successor: "s1".into(),
        withdrawn: 0,
        written_era,
        voters: stored().voters,
    }
}

fn promise_of_all(written_at: Moment, readers_end: Moment) -> Readiness {
    let voters = stored().voters;
    let request = retire_request(Some(0));
    let mut tally = PromiseTally::new(voters.clone(), ids(0..6), written_at, readers_end);
    for id in ids(0..6) {
        let promise = lease_of(&id, &voters).promise(written_at, &request).unwrap();
        tally.promised(written_at, &id, promise);
    }
    tally.readiness(false)
}

/// Guards against a reader that uses the primary after its successor was promoted.
#[test]
fn test_replacement_waits_for_readers_although_all_voters_promise() {
    let (known_since, read_at, written_at) = (at(1_000), at(9_900), at(10_000));
    let mut reader = PrimaryLease::unknown("reader".into());
    reader.record_store_grant(
        read_at,
        read_at,
        0,
        &StoredLease { admits_readers: true, ..stored() },
    );
    let last_use = (read_at + STORE_LEASE).saturating_sub(at(1));
    assert!(reader.holds(last_use, TERM));
    let ready = promise_of_all(written_at, readers_end(written_at, true, known_since));
    assert!(matches!(ready, Readiness::From(from) if from > last_use), "{ready:?}");
    // The record stopped to admit readers right after the last one had read it.
    let ready = promise_of_all(written_at, readers_end(written_at, false, at(9_901)));
    assert!(matches!(ready, Readiness::From(from) if from > last_use), "{ready:?}");
    // A record that has not admitted any for long has none.
    let ready = promise_of_all(written_at, readers_end(written_at, false, known_since));
    assert!(matches!(ready, Readiness::From(from) if from <= written_at), "{ready:?}");
}

/// Guards against a replacement that no read of the store shows.
#[test]
fn test_order_that_is_not_in_the_store_gets_no_promise() {
    let mut voter = lease_of(&"i0".into(), &stored().voters);
    assert_eq!(voter.promise(at(1_000), &retire_request(None)), Err(Objection::NotWritten));
}
