//! Measurements against whole deployments. The figures go into
//! docs/MEASUREMENTS.md and docs/CAPACITY.md.

pub mod capacity;
pub mod failover;
pub mod latency;
pub mod log_line;
pub mod share;
pub mod stats;
pub mod usage;
