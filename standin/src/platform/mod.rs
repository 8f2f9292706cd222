//! Stand-ins (test doubles) for the services of the users' platform: database servers, the
//! store, the promotion call, and clients.

pub mod client;
pub mod repetition;
pub mod servers;
pub mod store;
