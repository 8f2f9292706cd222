//! What the servers of a group say before one of them takes over.

use std::sync::Arc;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::leader_watch::ReplaceReason;
use chervilwharf_lib::position::Position;
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
    /// What it says.
    pub status: ServerStatus,
}

/// What the servers of a group say before one of them takes over.
#[derive(Default)]
pub struct Survey {
    /// The replica that received most.
    pub best: Option<Candidate>,
    /// What the old primary has, if it was asked and goes on.
    pub old_received: Option<Position>,
    /// A server that leads in a later term already.
    pub leading: Option<Candidate>,
}

/// Asks the servers of a group. The best replica lacks the fewest acknowledged
/// commits; where commits are acknowledged only when some replicas have them,
/// so many must have answered that one of these is among them.
///
/// As a last resort also one that missed a change of primary will do: a group
/// whose later primary is lost for good would otherwise have none for ever.
pub async fn survey(
    engine: &Engine,
    shard: &Arc<Shard>,
    from: Option<&TargetId>,
    reason: ReplaceReason,
) -> Survey {
    let last_resort = reason == ReplaceReason::LastResort;
    let asks_old = reason == ReplaceReason::Leaving;
    let ids: Vec<TargetId> = shard.with_group(|group| {
        let asked = group.servers().filter(|view| asks_old || Some(&view.info.id) != from);
        asked.map(|view| view.info.id.clone()).collect()
    });
    let replicas = ids.iter().filter(|id| Some(*id) != from).count();
    let probed = join_all(ids.iter().map(|id| probe::probe(shard, id))).await;
    let mut survey = Survey::default();
    let mut answered = 0;
    for (id, probed) in ids.into_iter().zip(probed) {
        let Probed::Status(status) = probed else {
            continue;
        };
        if status.leads {
            survey.take_leading(shard, Candidate { id, status });
            continue;
        }
        answered += 1;
        if is_able(shard, &id, &status, last_resort) {
            survey.take_replica(Candidate { id, status });
        }
    }
    let catalog = engine.catalog();
    let sync = catalog.groups.get(shard.id()).map_or(0, |settings| settings.sync_replicas);
    if sync > 0 && !last_resort && answered + sync <= replicas {
        report_rejected(shard, None, "too few replicas answer to have every commit");
        survey.best = None;
    }
    survey
}

impl Survey {
    /// A server that leads: in a later term it is the new primary, else the old
    /// one that goes on, whose promotion would change nothing.
    fn take_leading(&mut self, shard: &Arc<Shard>, server: Candidate) {
        self.old_received = self.old_received.max(Some(server.status.received));
        let current = shard.with_group(|group| {
            let leader = group.leader().map(|leader| &leader.id);
            leader == Some(&server.id) && group.primary_lease().retired() < server.status.term
        });
        if current {
            self.leading = Some(server);
        }
    }

    fn take_replica(&mut self, replica: Candidate) {
        let known = self.best.as_ref().map(|known| known.status.received);
        if known.is_none_or(|known| replica.status.received > known) {
            self.best = Some(replica);
        }
    }
}

fn is_able(shard: &Arc<Shard>, id: &TargetId, status: &ServerStatus, last_resort: bool) -> bool {
    let (may_lead, draining) = shard.with_group(|group| {
        let draining = group.server(id).is_none_or(|view| view.info.draining);
        (group.may_lead(status), draining)
    });
    if !may_lead && !last_resort {
        report_rejected(shard, Some((id, status)), "missed a change");
    }
    !draining && (may_lead || last_resort)
}

fn report_rejected(shard: &Shard, server: Option<(&TargetId, &ServerStatus)>, reason: &str) {
    let event = Event::new(EventKind::CandidateRejected)
        .with("group", shard.id())
        .with_some("server", server.map(|(id, _)| id))
        .with_some("received", server.map(|(_, status)| status.received))
        .with_some("term", server.map(|(_, status)| status.term));
    event_log::emit(&event.with("reason", reason));
}
