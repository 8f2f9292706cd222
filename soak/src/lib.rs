//! A fault-injection soak test. It runs instances as separate processes between a client
//! workload and simulators (stand-ins) of the platform's store and database servers.
//!
//! A seed determines a schedule of overlapping faults. After the run, the outcomes that
//! clients saw and the statements that servers executed are checked against the
//! consistency guarantees of the proxy.

pub mod accounts;
pub mod checks;
pub mod deployment;
pub mod fault;
pub mod history;
pub mod repeated_replies;
pub mod schedule;
pub mod soak;
pub mod workload;
