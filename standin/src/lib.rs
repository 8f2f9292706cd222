//! Small stand-ins for what surrounds chervilwharf: database servers, the
//! platform's store, a network that fails, and callers.
//!
//! They exist for tests, measurements and the demonstration. No crate of the
//! product depends on them.

pub mod command;
pub mod fault_proxy;
pub mod load;
pub mod platform;
pub mod store;
pub mod target;
mod target_contract;
mod target_log;
mod target_session;
mod target_wire;
