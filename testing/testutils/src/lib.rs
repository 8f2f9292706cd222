//! A whole deployment of real processes for tests, each behind fault proxies.

pub mod checker;
pub mod clients;
pub mod cluster;
pub mod experiments;
pub mod matrix;
pub mod process;
pub mod tool;
