//! Planned stop of an instance, in which requests in progress are completed.

use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::stop_plan::StopPlan;

use crate::engine::clock::now;
use crate::engine::directory::Directory;
use crate::engine::event_log;
use crate::engine::instance_control;
use crate::engine::shared::Engine;

/// Interval of the checks whether other instances have taken over the votes of this one.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time to remove the record of the instance from a store that answers.
const WITHDRAWAL_TIME: Duration = Duration::from_millis(200);

/// Waits until this instance votes no more where so few voters stay that its vote is needed.
async fn votes_handed_over(engine: &Engine) {
    while engine.has_votes_to_hand_over() {
        tokio::time::sleep(HANDOVER_CHECK_INTERVAL).await;
    }
}

/// Stops an engine within `grace`, the time that the platform grants between the request
/// to stop and the kill.
///
/// Clients are still served until the platform's load balancer has taken the instance out
/// of rotation. Then idle sessions are closed one by one, and each other session as soon as
/// its operation is complete. Where its votes are needed, others take them over. At the end the
/// record of the instance is removed from the store.
pub async fn run(engine: &Engine, directory: &dyn Directory, grace: Duration) {
    let plan = StopPlan::new(now(), grace);
    event_log::emit(&Event::new(EventKind::Stopping).with_ms("grace_ms", grace));
    engine.stop(plan);
    let closing_begins = plan.closing_begins_at().saturating_sub(now());
    tokio::time::sleep(closing_begins).await;
    let time_left = plan.ends_at().saturating_sub(now());
    if tokio::time::timeout(time_left, engine.sessions_ended()).await.is_err() {
        let event = Event::new(EventKind::ClientFailed);
        event_log::emit(&event.with("reason", "sessions are still open at the end of the stop"));
    }
    // Until then its votes are needed.
    let time_left = plan.ends_at().saturating_sub(now() + WITHDRAWAL_TIME);
    if tokio::time::timeout(time_left, votes_handed_over(engine)).await.is_err() {
        let event = Event::new(EventKind::VotesKept);
        event_log::emit(&event.with("reason", "the other voters have not taken over in time"));
    }
    let time_left = plan.ends_at().saturating_sub(now());
    let withdrawn = instance_control::withdraw_record(engine, directory);
    if tokio::time::timeout(time_left, withdrawn).await.is_err() {
        let event = Event::new(EventKind::InstanceRecordFailed);
        event_log::emit(&event.with("reason", "no time is left to remove the record"));
    }
    event_log::emit(&Event::new(EventKind::Stopped));
}
