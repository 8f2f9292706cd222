//! The decision logic of chervilwharf, without input, output, tasks or clocks.
//!
//! Most modules define state machines: a caller passes in events and the
//! current time, and gets back the actions to perform. The daemon performs the
//! actions; the tests run the same state machines on a virtual clock.

pub mod account;
pub mod account_homes;
pub mod account_rates;
pub mod admission;
pub mod burn;
pub mod catalog;
pub mod catalog_change;
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
pub mod fair_order;
pub mod field_text;
pub mod fleet;
pub mod floors;
pub mod group;
pub mod group_load;
pub mod group_ranking;
pub mod holder_choice;
pub mod holder_pair;
pub mod holder_table;
pub mod holders;
pub mod id;
pub mod instance;
pub mod keeper_lease;
pub mod keeper_voter_change;
pub mod keeper_voters;
pub mod leader_watch;
pub mod ledger;
pub mod limits;
pub mod load_shedding;
pub mod load_summary;
pub mod loss;
pub mod membership;
pub mod moment;
pub mod operation_clock;
pub mod ownership;
pub mod ownership_types;
pub mod peer_contact;
pub mod placement;
pub mod pool;
pub mod position;
pub mod primary_lease;
pub mod quota;
pub mod quota_search;
pub mod quota_share;
pub mod reader_admission;
pub mod received_statements;
pub mod relisting;
pub mod replica_change;
pub mod replica_set;
pub mod reply_check;
pub mod retry;
pub mod revision;
pub mod routing;
pub mod samples;
pub mod server_choice;
pub mod server_list;
pub mod server_refusal;
pub mod session_floors;
pub mod settings;
pub mod share_holders;
pub mod statement;
pub mod statement_timing;
pub mod stop_plan;
pub mod store_reading;
pub mod store_timeouts;
pub mod succession;
pub mod successor_choice;
pub mod verifier;
pub mod voter_change;
pub mod voter_set;
pub mod wait_estimator;
pub mod wait_queue;

/// Messages between instances that coordinate the ownership of databases,
/// generated from `protos/peer.proto`.
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
