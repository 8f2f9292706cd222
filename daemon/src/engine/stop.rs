//! A planned stop: no request in progress is cut off.

use std::time::Duration;

use chervilwharf_lib::stop_plan::StopPlan;

use crate::engine::clock::now;
use crate::engine::directory::Directory;
use crate::engine::fleet_control;
use crate::engine::shared::Engine;

/// Stops an engine within the time that the platform grants.
///
/// Clients are still served while the platform's balancer takes the instance
/// out, then idle sessions are closed one by one, and each other one as soon
/// as its operation is over.
pub async fn run(engine: &Engine, directory: &dyn Directory, grace: Duration) {
    let plan = StopPlan::new(now(), grace);
    log::info!("stopping within {grace:?}");
    engine.stop(plan);
    let closing_begins = plan.closing_begins_at().saturating_sub(now());
    tokio::time::sleep(closing_begins).await;
    let left = plan.ends_at().saturating_sub(now());
    if tokio::time::timeout(left, engine.sessions_ended()).await.is_err() {
        log::warn!("sessions are left at the end of the stop");
    }
    let left = plan.ends_at().saturating_sub(now());
    let withdrawn = fleet_control::withdraw_record(engine, directory);
    if tokio::time::timeout(left, withdrawn).await.is_err() {
        log::info!("the record of this instance stays: no time is left to remove it");
    }
    log::info!("stopped");
}
