//! Instances that agree on the voters of a shard of accounts, on a virtual clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::keeper_lease::Candidate;
use chervilwharf_lib::keeper_lease::KeeperLease;
use chervilwharf_lib::keeper_lease::Vote;
use chervilwharf_lib::keeper_lease::Votes;
use chervilwharf_lib::keeper_lease::candidates;
use chervilwharf_lib::keeper_lease::preferred_keeper_voters;
use chervilwharf_lib::keeper_voter_change::KeeperVoterAction;
use chervilwharf_lib::keeper_voter_change::KeeperVoterChange;
use chervilwharf_lib::keeper_voter_change::KnownStore;
use chervilwharf_lib::keeper_voters::KeeperVoters;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::voter_change::PreferredVoters;
use chervilwharf_lib::voter_change::Presence;
use chervilwharf_lib::voter_set::VoterSet;

const SHARD: u32 = 0;

/// Time between two rounds at an instance.
const ROUND: Duration = Duration::from_millis(50);

pub fn record(number: usize) -> InstanceRecord {
    InstanceRecord {
        id: format!("i{number:02}").into(),
        life: 1,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        // Those that join are larger, so that they are preferred as voters.
        capacity_millicores: if number < 8 { 250 } else { 500 },
    }
}

struct Instance {
    voters: KeeperVoters,
    votes: Votes,
    lease: KeeperLease,
    change: KeeperVoterChange,
}

/// Instances that reach each other, and nobody else.
pub struct Side<'a> {
    pub numbers: &'a [usize],
    /// The instances with a record, as this side knows them.
    pub recorded: &'a [usize],
    pub reaches_store: bool,
}

/// The instances and the voters in the store.
#[derive(Default)]
pub struct World {
    now: Moment,
    instances: BTreeMap<usize, Instance>,
    /// The voters in the store, and those of before, oldest first.
    pub stored: Vec<VoterSet>,
    pub era: u64,
    era_since: Moment,
}

impl World {
    /// A world without instances.
    pub fn new() -> Self {
        Self { now: Duration::from_secs(100), ..Self::default() }
    }

    /// Starts an instance, or starts it again.
    pub fn start(&mut self, number: usize) {
        let id = record(number).id;
        let instance = Instance {
            voters: KeeperVoters::new(id, self.now),
            votes: Votes::new(self.now),
            lease: KeeperLease::default(),
            change: KeeperVoterChange::default(),
        };
        self.instances.insert(number, instance);
    }

    /// Restores the store from a backup with the first `kept` of its sets of voters.
    pub fn restore(&mut self, kept: usize) {
        self.stored.truncate(kept);
        self.era += 1;
        self.era_since = self.now;
    }

    /// Plays the time with these sides, and calls `check` after each round with the keepers.
    pub fn play(&mut self, time: Duration, sides: &[Side<'_>], mut check: impl FnMut(&[usize])) {
        let end = self.now + time;
        while self.now < end {
            self.now += ROUND;
            for side in sides {
                for number in side.numbers {
                    self.run_round(*number, side);
                }
            }
            check(&self.keepers());
        }
    }

    pub fn keepers(&self) -> Vec<usize> {
        let all = self.instances.iter();
        all.filter(|(_, one)| one.lease.is_held(self.now)).map(|(number, _)| *number).collect()
    }

    pub fn voters(&self, number: usize) -> &VoterSet {
        self.instances[&number].voters.set()
    }

    fn one(&mut self, number: usize) -> &mut Instance {
        self.instances.get_mut(&number).expect("the instance was started")
    }

    fn run_round(&mut self, number: usize, side: &Side<'_>) {
        let records: Vec<_> = side.recorded.iter().map(|number| record(*number)).collect();
        self.maintain_voters(number, side, &records);
        let me = self.one(number);
        if !me.voters.is_candidate() {
            self.release(number);
            return;
        }
        let ordered: Vec<_> = candidates(SHARD, &records).into_iter().cloned().collect();
        let set = me.voters.set().clone();
        let ordered = ordered.iter().filter(|record| set.contains(&record.id));
        let rank = ordered.clone().position(|one| one.id == record(number).id).unwrap_or(0);
        let now = self.now;
        let me = self.one(number);
        let rank = u32::try_from(rank).expect("there are few voters");
        if !me.lease.is_held(now) && !me.votes.should_try(now, SHARD, rank) {
            return;
        }
        for to in side.numbers {
            self.request_vote(number, *to);
        }
        let me = self.one(number);
        let (set, relied_until) = (me.voters.set().clone(), me.voters.relied_until());
        me.lease.check(now, &set, relied_until);
        if !me.lease.is_held(now) {
            self.release(number);
        }
    }

    /// Requests the vote of one instance for another, which also compare their voters.
    pub fn request_vote(&mut self, from: usize, to: usize) {
        let now = self.now;
        let me = self.one(from);
        let (set, confirmed_at) = (me.voters.set().clone(), me.voters.confirmed_at());
        let holds_lease = me.lease.is_held(now);
        let candidate = Candidate { id: record(from).id, life: 1 };
        let voter = self.one(to);
        let vote = match voter.voters.vote_under(now, set.version) {
            Some(version) => voter.votes.handle_vote_request(now, SHARD, candidate, version),
            None => Vote::Refused,
        };
        if let Some(at) = confirmed_at.filter(|_| holds_lease) {
            voter.voters.confirmed_by_keeper(now, set.version, now.saturating_sub(at));
        }
        let version = voter.voters.voting_version(now);
        let theirs = voter.voters.set().clone();
        voter.voters.adopt(now, &set);
        let me = self.one(from);
        me.voters.reported(&record(to).id, now, version);
        me.voters.adopt(now, &theirs);
        me.lease.answered(now, &record(to).id, &vote);
    }

    fn release(&mut self, number: usize) {
        let now = self.now;
        self.one(number).lease.end(now);
        let candidate = Candidate { id: record(number).id, life: 1 };
        for one in self.instances.values_mut() {
            one.votes.release(now, SHARD, &candidate);
        }
    }

    fn maintain_voters(&mut self, number: usize, side: &Side<'_>, records: &[InstanceRecord]) {
        let now = self.now;
        let preferred = preferred_keeper_voters(SHARD, records);
        let mut preferred: Vec<_> = preferred.into_iter().map(|record| record.id).collect();
        preferred.sort_unstable();
        let store = KnownStore {
            era: if side.reaches_store { self.era } else { 0 },
            era_since: self.era_since,
            is_available: side.reaches_store,
        };
        let presence = |id: &InstanceId| {
            let is_recorded = records.iter().any(|record| record.id == *id);
            if is_recorded { Presence::Staying } else { Presence::Absent }
        };
        // One instance of each side drives the changes.
        let me = self.instances.get_mut(&number).expect("the instance was started");
        let is_first = side.numbers.first() == Some(&number);
        let drives = me.lease.is_held(now) || is_first;
        let known = me.voters.clone();
        let preferred = PreferredVoters { recorded: &preferred, staying: &preferred };
        match me.change.tick(now, &known, store, drives, preferred, presence) {
            Some(KeeperVoterAction::Read) => self.read(number),
            Some(KeeperVoterAction::Write(next)) => {
                if self.stored.last().map_or(0, |stored| stored.version) <= known.set().version {
                    self.stored.push(next);
                }
                self.read(number);
            }
            Some(KeeperVoterAction::Send) => {
                for to in side.numbers {
                    self.send(number, *to);
                }
            }
            None => {}
        }
    }

    /// Lets an instance read the voters in the store.
    pub fn read(&mut self, number: usize) {
        let stored = self.stored.last().cloned().unwrap_or_default();
        let (now, era) = (self.now, self.era);
        self.one(number).voters.read_from_store(now, now, era, &stored);
    }

    fn send(&mut self, from: usize, to: usize) {
        let now = self.now;
        let set = self.one(from).voters.set().clone();
        if !set.contains(&record(to).id) {
            return;
        }
        if self.one(to).voters.acknowledge(now, &set) {
            let me = self.one(from);
            me.change.acknowledged(now, &set, &record(to).id);
            me.voters.reported(&record(to).id, now, set.version);
        }
    }
}
