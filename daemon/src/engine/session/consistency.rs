//! What a session's reads have to see, and whether its commits are final.

use std::time::Duration;

use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::session_floors::OwnCommits;
use chervilwharf_lib::session_floors::OwnPosition;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::request::Request;
use crate::engine::session::Session;

/// How long an expired primary lease may take to be renewed before the outcome of a
/// commit counts as unknown: a few rounds of heartbeats, or one read of a slow store.
const CONFIRM_LIMIT: Duration = Duration::from_millis(400);

impl Session {
    /// The session's own commits in the group that it uses.
    #[must_use]
    pub fn own_commits(&self) -> OwnCommits {
        self.floors.get(self.shard.id())
    }

    /// Adopts what another instance reports of the session's own commits in the group that it
    /// uses.
    pub fn adopt_own_commits(&mut self, own: OwnCommits) {
        self.floors.adopt(self.shard.id(), own);
    }

    /// Lowest log position that a read of this session has to see; `None` if the
    /// read needs the primary.
    #[must_use]
    pub fn floor_for(&self, arrived_at: Moment, consistency: Consistency) -> Option<Position> {
        let own = self.own_commits();
        self.shard.with_group(|group| group.floor(arrived_at, consistency, own))
    }

    /// Records that the session committed at a position.
    pub fn raise_floor(&mut self, position: Position) {
        self.floors.raise(self.shard.id(), now(), position);
    }

    /// Records the position that a primary had reached when it served a read, while its lease is
    /// valid. It includes all own commits, if they are in the log at all.
    pub fn observe_primary_position(&mut self, server: &str, position: Position) {
        let is_needed = match self.own_commits() {
            OwnCommits::None => false,
            OwnCommits::Unknown => true,
            OwnCommits::UpTo(own) => position < own.position,
        };
        if is_needed && self.shard.term_of(server).is_some() {
            let own = OwnPosition { position, acknowledged_at: now() };
            self.floors.set(self.shard.id(), own);
        }
    }

    /// Records that a server has not applied `floor`. If that proves that a change of
    /// primary rolled `floor` back, the session's own commits up to it are lost as well,
    /// and its reads no longer wait for them.
    pub fn observe_lagging(
        &mut self,
        server: &TargetId,
        floor: Option<Position>,
        applied: Option<Position>,
    ) {
        let floor = floor.unwrap_or_default();
        let rolled_back =
            self.shard.with_group(|group| group.observe_lagging(now(), server, floor, applied));
        if rolled_back && self.own_commits().position().is_some_and(|own| own <= floor) {
            self.floors.clear(self.shard.id());
        }
    }

    /// Whether a transaction that wrote and began in `term` may be committed at `server`
    /// now: this instance still has the lease on that term.
    #[must_use]
    pub fn may_commit(&self, server: &str, term: Option<Term>) -> bool {
        term.is_some() && self.shard.term_of(server) == term
    }

    /// Whether a commit that a server acknowledged is final, because the server was the
    /// primary of `term` when it committed. If this returns `false`, the outcome is
    /// unknown.
    pub async fn is_confirmed(&self, request: &Request, server: &TargetId, term: Term) -> bool {
        let until = request.deadline.min(now() + CONFIRM_LIMIT);
        let confirmed = self.shard.confirm_term(term, until).await;
        if !confirmed {
            let event = Event::new(EventKind::CommitUnconfirmed).with("id", &request.id);
            let event = event.with("group", self.shard.id()).with("server", server);
            event_log::emit(&event.with("term", term));
        }
        confirmed
    }
}
