//! The session engine: serves client sessions with typed statements on groups
//! of replicated servers that guard their own lead.
//!
//! Protocols are behind borders: [`server_connection`] for servers, [`directory`] for
//! the platform's lists. A front decodes what a client sends into
//! [`chervilwharf_lib::statement::Statement`] and gives it to a [`session`].

pub mod account_metrics;
pub mod caller;
pub mod clock;
pub mod configuration_control;
pub mod controllers;
pub mod counted_directory;
pub mod directory;
pub mod duty_control;
pub mod event_log;
pub mod fleet_control;
pub mod follow;
pub mod forwarded_session;
pub mod holders;
pub mod instance_control;
pub mod leader_control;
pub mod lease;
pub mod metrics;
pub mod peer_contacts;
pub mod peer_records;
pub mod peers;
pub mod primary_lease_control;
pub mod probe;
pub mod promoter;
pub mod quota_control;
pub mod records;
pub mod remote;
pub mod replacement;
pub mod request;
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
pub mod survey;
pub mod trace;
pub mod transaction;
pub mod waiting;
