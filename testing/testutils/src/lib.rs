//! Test utilities: deployments of real processes (database servers, instances,
//! command-line tool) behind fault proxies, client workloads with consistency checks, a
//! fault matrix, and performance experiments.

pub mod account_load;
pub mod checked_clients;
pub mod checker;
pub mod clients;
pub mod cluster;
pub mod experiments;
pub mod matrix;
pub mod process;
pub mod tool;
