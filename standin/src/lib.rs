//! Small stand-ins for the systems around chervilwharf: database servers (targets), the
//! platform's store, an unreliable network, and clients.
//!
//! Tests, measurements and the demonstration use them. The proxy and its command-line tool
//! don't depend on this crate.

pub mod command;
pub mod fault_proxy;
pub mod load;
pub mod platform;
pub mod store;
pub mod target;
mod target_contract;
mod target_log;
pub mod target_repeats;
mod target_session;
mod target_wire;
