//! Stand-ins for what the users' platform runs: database servers, the store,
//! the call that promotes, and clients.

pub mod client;
pub mod servers;
pub mod store;
