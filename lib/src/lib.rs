//! The decisions of chervilwharf, free of sockets, tasks and clocks.
//!
//! Every module here is a plain value that takes events together with the
//! current time and returns what has to be done. The daemon performs the
//! actions; the tests drive the same values on a virtual clock.

pub mod account;
pub mod account_rates;
pub mod admission;
pub mod burn;
pub mod catalog;
pub mod classify;
pub mod concurrency;
pub mod config;
pub mod config_check;
pub mod connection_budget;
pub mod connection_setup;
pub mod detector;
pub mod duty;
pub mod error_kind;
pub mod event;
pub mod explanation;
pub mod fleet;
pub mod floors;
pub mod group;
pub mod holder_choice;
pub mod holders;
pub mod id;
pub mod instance;
pub mod keeper_lease;
pub mod leader_watch;
pub mod ledger;
pub mod limits;
pub mod load_shedding;
pub mod loss;
pub mod membership;
pub mod moment;
pub mod ownership;
pub mod ownership_types;
pub mod peer_contact;
pub mod placement;
pub mod pool;
pub mod position;
pub mod primary_lease;
pub mod quota;
pub mod received_statements;
pub mod retry;
pub mod revision;
pub mod routing;
pub mod samples;
pub mod server_choice;
pub mod server_list;
pub mod server_refusal;
pub mod settings;
pub mod silence;
pub mod statement;
pub mod stop_plan;
pub mod succession;
pub mod verifier;
pub mod wait_estimator;
pub mod wait_queue;
pub mod waits;

/// Messages between instances, generated from `protos/peer.proto`.
#[allow(clippy::all, clippy::pedantic, missing_docs, reason = "generated")]
#[rustfmt::skip]
pub mod protos {
    include!("protos/chervilwharf.peer.rs");
}

/// Messages between instances that run the session engine, generated from
/// `protos/engine.proto`.
#[allow(clippy::all, clippy::pedantic, missing_docs, reason = "generated")]
#[rustfmt::skip]
pub mod engine_protos {
    include!("protos/chervilwharf.engine.rs");
}
