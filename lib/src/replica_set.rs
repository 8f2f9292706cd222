//! The servers of a group that may have received acknowledged commits.
//!
//! In a group with synchronous replicas a commit is acknowledged once enough of them have
//! received it. A replica that leaves or crashes disappears from the platform's list, but its
//! log comes back: with the server itself, or with the server that gets its log. Until then it
//! may be the only one that has a commit. The platform's store therefore keeps the replicas that
//! count, in the record of the group's duty.
//!
//! The invariant is: every acknowledged commit is in the logs of the primary and of at least
//! `replicated` other members. A server becomes a member when it is listed. It ceases to be one
//! only on evidence:
//!
//! - Enough members that stay have received all that the primary had received at a time when the
//!   server had ended, so that nothing is missing without it.
//! - The server that got its log answers.
//!
//! No time by itself removes a member.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::group::ServerInfo;
use crate::id::TargetId;
use crate::position::Position;

/// A server that may have received acknowledged commits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The id of the server.
    pub id: TargetId,
    /// Distinguishes this start of the server from others under the same id, which do not
    /// have its log.
    pub start: Arc<str>,
    /// The address at which its log comes back if it leaves as planned.
    pub address: SocketAddr,
    /// Whether it was about to leave when it was last listed. If so, the next server at its
    /// address gets its log.
    pub draining: bool,
}

impl Member {
    fn is(&self, server: &ServerInfo) -> bool {
        self.id == server.id && self.start == server.start
    }
}

impl From<&ServerInfo> for Member {
    fn from(server: &ServerInfo) -> Self {
        Self {
            id: server.id.clone(),
            start: server.start.clone(),
            address: server.address,
            draining: server.draining,
        }
    }
}

/// What the servers of a group had received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedPositions {
    /// Position of the primary, while it was certainly the primary.
    pub primary: Position,
    /// Positions of other servers, all asked after the primary.
    pub others: Vec<(TargetId, Position)>,
}

impl ReceivedPositions {
    /// The number of servers that have all that the primary had received.
    #[must_use]
    pub fn complete(&self) -> usize {
        self.others.iter().filter(|(_, received)| *received >= self.primary).count()
    }
}

/// How many replicas have to answer before one is promoted, so that one of them has every
/// acknowledged commit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommitQuorum {
    /// Replicas that may have received acknowledged commits, apart from the primary.
    pub replicas: usize,
    /// How many of them have each acknowledged commit.
    pub replicated: usize,
    /// Those that are not listed, so that they cannot answer.
    pub absent: Vec<TargetId>,
}

impl CommitQuorum {
    /// A quorum that any answer meets, for a choice in which the position of the old primary
    /// shows whether a replica has every acknowledged commit.
    #[must_use]
    pub fn any_answer() -> Self {
        Self { replicas: 1, replicated: 1, absent: Vec::new() }
    }

    /// Whether one of so many replicas that answered has every acknowledged commit.
    #[must_use]
    pub fn is_met(&self, answered: usize) -> bool {
        answered + self.replicated > self.replicas
    }
}

/// The members of a group; empty if they are not known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSet {
    /// The members, with the primary, ordered by id.
    pub members: Vec<Member>,
    /// Every acknowledged commit is in the logs of the primary and of at least so many other
    /// members.
    pub replicated: usize,
}

impl ReplicaSet {
    /// Whether the members are known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.members.is_empty()
    }

    /// Whether a group with so many synchronous replicas has a set. It has one also after their
    /// number was set to 0, until its members are not needed any more.
    #[must_use]
    pub fn is_used(&self, sync_replicas: usize) -> bool {
        sync_replicas > 0 || self.is_known()
    }

    /// This set with all listed servers as members.
    #[must_use]
    pub fn with_servers(&self, listed: &[ServerInfo]) -> Self {
        let mut next = self.clone();
        for server in listed {
            match next.members.iter_mut().find(|member| member.is(server)) {
                Some(known) => *known = server.into(),
                None => next.members.push(server.into()),
            }
        }
        next.sort();
        next.replicated = next.replicated.max(1);
        next
    }

    /// This set under a configured number of synchronous replicas. A lower number is in force
    /// at once; a higher one after [`Self::settled`] has shown it.
    #[must_use]
    pub fn with_sync_replicas(self, sync_replicas: usize) -> Self {
        Self { replicated: self.replicated.min(sync_replicas.max(1)), ..self }
    }

    /// The members of both sets. Used when the store was restored from a backup, which may lack
    /// members, and may have earlier ones.
    #[must_use]
    pub fn merged(&self, other: &Self) -> Self {
        let mut next = self.clone();
        let is_known = |member: &Member| {
            self.members.iter().any(|m| m.id == member.id && m.start == member.start)
        };
        next.members.extend(other.members.iter().filter(|member| !is_known(member)).cloned());
        next.sort();
        if other.is_known() {
            next.replicated = match self.replicated {
                0 => other.replicated,
                replicated => replicated.min(other.replicated),
            };
        }
        next
    }

    /// The members that are not listed and whose log is at no listed server either.
    pub fn absent<'a>(&'a self, listed: &'a [ServerInfo]) -> impl Iterator<Item = &'a Member> {
        self.unlisted(listed).filter(|member| successor_of(member, listed).is_none())
    }

    fn unlisted<'a>(&'a self, listed: &'a [ServerInfo]) -> impl Iterator<Item = &'a Member> {
        self.members.iter().filter(|member| !listed.iter().any(|server| member.is(server)))
    }

    /// Whether a listed server has the log of a member that is not listed any more.
    #[must_use]
    pub fn has_replaced(&self, listed: &[ServerInfo]) -> bool {
        self.unlisted(listed).any(|member| successor_of(member, listed).is_some())
    }

    /// How many replicas have to answer before one takes the place of the primary `from`, in a
    /// group with `sync_replicas` synchronous replicas.
    #[must_use]
    pub fn quorum(
        &self,
        listed: &[ServerInfo],
        from: Option<&TargetId>,
        sync_replicas: usize,
    ) -> CommitQuorum {
        let absent: Vec<_> = self.absent(listed).map(|member| member.id.clone()).collect();
        // The primary is a member, also when this instance does not know which one it is.
        let includes_primary =
            self.is_known() || listed.iter().any(|server| Some(&server.id) == from);
        let servers = listed.len() + absent.len();
        CommitQuorum {
            replicas: servers.saturating_sub(usize::from(includes_primary)),
            replicated: self.replicated.max(1).min(sync_replicas),
            absent,
        }
    }

    /// The set without the members `ended`, if their logs are not needed any more, and with the
    /// configured number of synchronous replicas, if so many have received all commits.
    ///
    /// `received` was requested after these members had ended.
    #[must_use]
    pub fn settled(
        &self,
        listed: &[ServerInfo],
        ended: &[Member],
        received: &ReceivedPositions,
        sync_replicas: usize,
    ) -> Self {
        let complete = received.complete();
        let has_answered = |server: &TargetId| received.others.iter().any(|(id, _)| id == server);
        let is_needed = |member: &Member| {
            let is_replaced =
                successor_of(member, listed).is_some_and(|server| has_answered(&server.id));
            let is_listed = listed.iter().any(|server| member.is(server));
            let is_covered = ended.contains(member) && complete >= self.replicated.max(1);
            is_listed || !(is_replaced || is_covered)
        };
        let mut next = self.with_servers(listed);
        next.members.retain(is_needed);
        if sync_replicas > 0 && complete >= sync_replicas {
            next.replicated = sync_replicas;
        }
        next
    }

    fn sort(&mut self) {
        self.members.sort_unstable_by(|a, b| (&a.id, &a.start).cmp(&(&b.id, &b.start)));
    }
}

/// The listed server that got the log of a member which has left as planned.
fn successor_of<'a>(member: &Member, listed: &'a [ServerInfo]) -> Option<&'a ServerInfo> {
    let is_successor = |server: &&ServerInfo| {
        member.draining && server.address == member.address && !member.is(server)
    };
    if listed.iter().any(|server| member.is(server)) {
        return None;
    }
    listed.iter().find(is_successor)
}
