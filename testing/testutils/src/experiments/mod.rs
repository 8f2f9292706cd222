//! Performance experiments against deployments of real processes. Their results are
//! published in docs/MEASUREMENTS.md and docs/CAPACITY.md.

pub mod capacity;
pub mod failover;
pub mod latency;
pub mod log_line;
pub mod share;
pub mod stats;
pub mod usage;
