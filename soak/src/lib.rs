//! A fault soak: instances as separate processes, between clients and the
//! stand-ins of the users' platform, under series of faults that a seed
//! decides, while what clients and servers see is checked against what the
//! proxy promises.

pub mod checks;
pub mod deployment;
pub mod fault;
pub mod history;
pub mod schedule;
pub mod soak;
pub mod workload;
