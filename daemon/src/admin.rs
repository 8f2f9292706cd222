//! HTTP interface of an instance for operators, load balancers and the metrics
//! collector.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use chervilwharf_lib::admission::SlotQueue;
use chervilwharf_lib::pool::ServerPool;
use chervilwharf_lib::protos::Inquiry;
use chervilwharf_lib::protos::inquiry_reply::State as InquiryState;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

use crate::context::Shared;
use crate::forward;

/// Serves the interface until the process ends.
pub async fn serve(context: Shared, listener: TcpListener) {
    let routes = Router::new()
        .route("/healthz", get(healthz))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .route("/burn", get(burn))
        .route("/request", get(request))
        .with_state(context);
    // Returns only when the process ends.
    let _ = axum::serve(listener, routes).await;
}

/// Reports the instance as healthy while a configuration is in force and it is not
/// stopping, so that a load balancer sends clients only to instances that can
/// serve them.
async fn healthz(State(context): State<Shared>) -> (StatusCode, &'static str) {
    if *context.stopping.borrow() {
        return (StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if context.config().version == 0 {
        return (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
    }
    (StatusCode::OK, "ok\n")
}

async fn metrics(State(context): State<Shared>) -> String {
    context.metrics.render()
}

async fn status(State(context): State<Shared>) -> Json<Value> {
    let mut databases = serde_json::Map::new();
    for id in context.databases.instance.database_ids() {
        if let Some(value) = database_status(&context, &id) {
            databases.insert(id.to_string(), value);
        }
    }
    let membership = context.databases.instance.membership();
    let peers: Vec<_> = membership
        .peers()
        .map(|(peer, alive)| {
            json!({
                "instance": peer.id,
                "failure_domain": peer.failure_domain,
                "alive": alive,
                "leaving": peer.leaving,
                "configuration_version": peer.configuration_version,
                "admin_address": peer.admin_address,
            })
        })
        .collect();
    let me = membership.me();
    Json(json!({
        "instance": me.id,
        "failure_domain": me.failure_domain,
        "leaving": me.leaving,
        "configuration_version": me.configuration_version,
        "peers": peers,
        "databases": databases,
    }))
}

fn database_status(context: &Shared, id: &Arc<str>) -> Option<Value> {
    let owner_record = {
        let membership = context.databases.instance.membership();
        membership.owner(id).map(|record| (record.owner.clone(), record.term))
    };
    let serving_status = context.databases.with_database(id, |state| {
        let (term, primary) = state.ownership.serving()?;
        let servers: Vec<_> = state
            .ownership
            .servers()
            .map(|server| {
                let server_state = state.ownership.server_state(&server.id);
                let slots = state.slots.get(&server.id);
                let pool = state.pools.get(&server.id);
                json!({
                    "server": server.id,
                    "failure_domain": server.failure_domain,
                    "primary": server.id == primary,
                    "leaving": server.leaving,
                    "usable": state.ownership.is_usable(&server.id),
                    "term": server_state.map(|server_state| server_state.term),
                    "received": server_state.map(|server_state| server_state.received.to_string()),
                    "applied": server_state.map(|server_state| server_state.applied.to_string()),
                    "waiting": slots.map_or(0, SlotQueue::waiting),
                    "slots_in_use": slots.map_or(0, SlotQueue::in_use),
                    "connections": pool.map_or(0, ServerPool::open_count),
                    "idle_connections": pool.map_or(0, ServerPool::idle_count),
                })
            })
            .collect();
        Some(json!({
            "term": term,
            "primary": primary,
            "servers": servers,
            "open_transactions": state.open_transactions,
            "in_progress": state.in_progress,
            "accounts_with_floor": state.floors.account_count(),
        }))
    })?;
    let owner = owner_record.as_ref().map(|(owner, _)| owner.clone());
    Some(json!({
        "owner": owner,
        "owner_term": owner_record.map(|(_, term)| term),
        "serving_here": serving_status,
    }))
}

/// Returns the request counts from which the burn rate of each service's error
/// budget is computed.
async fn burn(State(context): State<Shared>) -> Json<Value> {
    Json(json!(context.metrics.burn_counts()))
}

#[derive(Deserialize)]
struct RequestQuery {
    database: String,
    account: String,
    id: String,
}

/// Reports the outcome of a request. A request that has not run is prevented from
/// running later.
async fn request(
    State(context): State<Shared>,
    Query(query): Query<RequestQuery>,
) -> (StatusCode, Json<Value>) {
    let inquiry = Inquiry {
        database: query.database,
        account: query.account,
        request_id: query.id,
        settle: true,
    };
    let reply = forward::inquire(&context, inquiry).await;
    let state = match reply.state() {
        InquiryState::RanOnce => "ran_once",
        InquiryState::DidNotRun => "did_not_run",
        InquiryState::InFlight => "in_flight",
        InquiryState::Unknown => "unknown",
    };
    let status = if reply.state() == InquiryState::Unknown {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    let body = json!({
        "state": state,
        "term": reply.term,
        "index": reply.index,
        "reason": reply.failure.map(|failure| failure.message),
    });
    (status, Json(body))
}
