//! Asks the servers of a group for their state, to choose the replica that becomes the
//! next primary.

use std::fmt::Display;
use std::sync::Arc;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::leader_watch::ReplaceReason;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::replica_set::CommitQuorum;
use chervilwharf_lib::successor_choice::NoSuccessor;
use chervilwharf_lib::successor_choice::Replica;
use chervilwharf_lib::successor_choice::choose_successor;
use futures::future::join_all;

use crate::engine::event_log;
use crate::engine::probe;
use crate::engine::probe::Probed;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;

/// A replica that can take over.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The replica.
    pub id: TargetId,
    /// The state that it reported.
    pub status: ServerStatus,
}

/// The state of the servers of a group before one of them is promoted.
#[derive(Default)]
pub struct Survey {
    /// The replica that can take over and received the most; `None` if none can.
    pub best: Option<Candidate>,
    /// The position of the old primary in its log, if it was asked and still leads.
    pub old_received: Option<Position>,
    /// Whether `old_received` is that of the primary that is to be replaced.
    is_old_primary_known: bool,
    /// A server that already leads in a later term.
    pub leading: Option<Candidate>,
}

/// Asks the servers of a group for their state; [`choose_successor`] has the rules of the
/// choice.
pub async fn survey(
    engine: &Engine,
    shard: &Arc<Shard>,
    from: Option<&TargetId>,
    reason: ReplaceReason,
) -> Survey {
    let asks_old_primary = reason == ReplaceReason::Leaving;
    let ids: Vec<TargetId> = shard.with_group(|group| {
        let asked = group.servers().filter(|view| asks_old_primary || Some(&view.info.id) != from);
        asked.map(|view| view.info.id.clone()).collect()
    });
    let probed = join_all(ids.iter().map(|id| probe::probe(shard, id))).await;
    let mut survey = Survey::default();
    let mut answered = Vec::new();
    for (id, probed) in ids.into_iter().zip(probed) {
        let Probed::Status(status) = probed else {
            continue;
        };
        if status.leads {
            survey.is_old_primary_known |= Some(&id) == from;
            survey.note_leading(shard, Candidate { id, status });
        } else {
            answered.push(replica(shard, Candidate { id, status }));
        }
    }
    let mut quorum = engine.commit_quorum(shard, from);
    if survey.is_old_primary_known {
        quorum = quorum.map(|_| CommitQuorum::any_answer());
    }
    match choose_successor(&answered, quorum.as_ref(), reason) {
        Ok(chosen) => survey.best = Some(chosen.id.clone()),
        Err(error) => {
            if let (NoSuccessor::TooFewAnswered, Some(quorum)) = (error, &quorum) {
                report_awaited(shard, answered.len(), quorum);
            }
            report_rejected(shard, None, error);
        }
    }
    survey
}

/// Reports the replicas without which none is promoted, because only they may have some
/// acknowledged commits.
fn report_awaited(shard: &Shard, answered: usize, quorum: &CommitQuorum) {
    let event = Event::new(EventKind::ReplicasAwaited).with("group", shard.id());
    let event = event.with_count("answered", answered).with_count("replicas", quorum.replicas);
    let event = event.with_count("replicated", quorum.replicated);
    let absent: Vec<_> = quorum.absent.iter().map(ToString::to_string).collect();
    event_log::emit(&event.with("absent", absent.join(", ")));
}

impl Survey {
    /// Records a server that leads. In a term that is not retired it is the current
    /// primary; else it is an old primary, whose promotion would change nothing.
    fn note_leading(&mut self, shard: &Arc<Shard>, server: Candidate) {
        self.old_received = self.old_received.max(Some(server.status.received));
        let is_current = shard.with_group(|group| {
            let leader = group.leader().map(|leader| &leader.id);
            leader == Some(&server.id) && group.primary_lease().retired() < server.status.term
        });
        if is_current {
            self.leading = Some(server);
        }
    }
}

/// What the choice of the next primary depends on, of a replica that answered.
fn replica(shard: &Arc<Shard>, candidate: Candidate) -> Replica<Candidate> {
    let Candidate { id, status } = &candidate;
    let (can_lead, draining) = shard.with_group(|group| {
        let draining = group.server(id).is_none_or(|view| view.info.draining);
        (group.may_lead(status), draining)
    });
    if !can_lead {
        report_rejected(shard, Some((id, status)), "missed a change of primary");
    }
    Replica { received: status.received, id: candidate, can_lead, draining }
}

fn report_rejected(
    shard: &Shard,
    server: Option<(&TargetId, &ServerStatus)>,
    reason: impl Display,
) {
    let event = Event::new(EventKind::CandidateRejected)
        .with("group", shard.id())
        .with_some("server", server.map(|(id, _)| id))
        .with_some("received", server.map(|(_, status)| status.received))
        .with_some("term", server.map(|(_, status)| status.term));
    event_log::emit(&event.with("reason", reason));
}
