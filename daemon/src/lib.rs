//! The daemon: one running proxy instance. It performs the network input and
//! output, the timing and the scheduling for the state machines of
//! `chervilwharf-lib`, which make the decisions and perform no input or output.

pub mod admin;
pub mod answer;
pub mod batch_reply;
pub mod checkout;
pub mod command;
pub mod confirm;
pub mod connection_store;
pub mod context;
pub mod control;
pub mod databases;
pub mod dispatch;
pub mod engine;
pub mod entry;
pub mod entry_handlers;
pub mod entry_startup;
pub mod filter;
pub mod forward;
pub mod in_flight;
pub mod inquiry;
pub mod link;
pub mod link_server;
pub mod logging;
pub mod metrics;
pub mod owner;
pub mod platform;
pub mod platform_sync;
pub mod postgres;
pub mod read;
pub mod serving;
pub mod start;
pub mod target;
pub mod transaction;
pub mod transactions;
pub mod write;
