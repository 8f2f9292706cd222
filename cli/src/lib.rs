//! Command-line tool for operators and support engineers: it checks and applies
//! configurations, shows the state of a deployment, and analyses requests and logs.

pub mod apply;
pub mod burn;
pub mod client;
pub mod command;
pub mod configuration;
pub mod explain;
pub mod load;
pub mod loss;
pub mod request;
pub mod status;
