//! The session engine: runs the statements of client sessions on groups of replicated
//! database servers.
//!
//! A group consists of a primary and its replicas. Each server keeps its own role and
//! term; the instances replace a primary that fails.
//!
//! The engine is independent of any platform's protocols. A platform implements the
//! traits in [`server_connection`] for its database servers and those in [`directory`]
//! for its store of records. Its front end decodes the messages of clients into
//! [`chervilwharf_lib::statement::Statement`] and passes them to a [`session`].

pub mod account_metrics;
pub mod caller;
pub mod checked_connection;
pub mod clock;
pub mod configuration_control;
pub mod controllers;
pub mod counted_directory;
pub mod directory;
pub mod duty_control;
pub mod event_log;
pub mod first_pull;
pub mod fleet_control;
pub mod forwarded_session;
pub mod holder_search;
pub mod holders;
pub mod instance_control;
pub mod keeper_metrics;
pub mod keeper_voter_control;
pub mod leader_control;
pub mod lease;
pub mod load_choice;
pub mod load_control;
pub mod load_metrics;
pub mod metrics;
pub mod near_homes;
pub mod pass_on;
pub mod peer_contacts;
pub mod peer_records;
pub mod peers;
pub mod primary_lease_control;
pub mod probe;
pub mod promoter;
pub mod queue_metrics;
pub mod quota_control;
pub mod quota_leases;
pub mod quota_shards;
pub mod reader_control;
pub mod record_watch;
pub mod records;
pub mod remote;
pub mod replacement;
pub mod replica_control;
pub mod reply_metrics;
pub mod request;
pub mod sent_bytes;
pub mod server_connection;
pub mod server_control;
pub mod session;
pub mod shard;
pub mod shared;
pub mod single;
pub mod socket;
pub mod stop;
pub mod store_availability;
pub mod store_era;
pub mod store_gate;
pub mod store_liveness;
pub mod supervisor;
pub mod survey;
pub mod trace;
pub mod transaction;
pub mod transaction_times;
pub mod transfer;
pub mod voter_control;
pub mod waiting;
