//! The tool of operators and support engineers.

pub mod apply;
pub mod burn;
pub mod client;
pub mod command;
pub mod configuration;
pub mod explain;
pub mod loss;
pub mod request;
pub mod status;
