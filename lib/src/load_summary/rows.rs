//! Rows of the tables of a summary.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

/// Rows of a table, the most important first.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Table<R> {
    /// The rows.
    pub rows: Vec<R>,
    /// Number of rows that are left out.
    pub rows_omitted: usize,
    /// Number of instances that report the metric. If there are none, the table says nothing.
    pub reporting_instances: usize,
}

impl<R> Table<R> {
    pub(super) fn limit(&mut self, rows: usize) {
        self.rows_omitted += self.rows.len().saturating_sub(rows);
        self.rows.truncate(rows);
    }
}

/// Requests of one group and priority that wait for a connection now.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct WaitingRow {
    /// The group.
    pub group: Arc<str>,
    /// Priority of the requests; `None` for those of instances of an earlier build.
    pub priority: Option<Arc<str>>,
    /// Number of waiting requests.
    pub waiting: f64,
    /// How long the one that waits for longest has waited, in seconds; `None` if unknown.
    pub longest_wait_s: Option<f64>,
    /// Number of instances at which they wait.
    pub instances: usize,
}

/// Requests of one account that wait for a connection now.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct WaitingAccountRow {
    /// The account; `other` for those that instances do not name.
    pub account: Arc<str>,
    /// Number of waiting requests.
    pub waiting: f64,
    /// Number of instances at which they wait.
    pub instances: usize,
}

/// Refusals of one group and priority for one reason.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct RefusedRow {
    /// The group.
    pub group: Arc<str>,
    /// Priority of the requests; `none` if they were refused before they requested a connection.
    pub priority: Arc<str>,
    /// Name of the error kind.
    pub reason: Arc<str>,
    /// Number of refusals, in total or per second.
    pub refused: f64,
    /// Number of instances that refused.
    pub instances: usize,
}

/// Statements of one account that failed for one reason.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct RefusedAccountRow {
    /// The account; `other` for those that instances do not name.
    pub account: Arc<str>,
    /// Name of the error kind.
    pub reason: Arc<str>,
    /// Number of statements that failed so, in total or per second.
    pub refused: f64,
    /// Number of statements of the account that were served, in total or per second.
    pub served: f64,
}

/// Numbers of shards of accounts for which one instance counts operations, or may.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct QuotaRow {
    /// Address of the instance.
    pub instance: Arc<str>,
    /// Shards of which it is the keeper; `None` if it does not report it.
    pub keeper: Option<f64>,
    /// Shards of whose limits it holds a share, counted or on standby; `None` if it does not
    /// report it.
    pub share_held: Option<f64>,
    /// Shards whose share it counts; `None` if it does not report it.
    pub share_counted: Option<f64>,
    /// Shards whose share is on standby; `None` if it does not report it.
    pub share_standby: Option<f64>,
}

/// Where the statements of one large account go.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct HomesRow {
    /// The account.
    pub account: Arc<str>,
    /// The group.
    pub group: Arc<str>,
    /// The instances that are homes of the account, with the number of instances that send its
    /// reads there.
    pub homes: BTreeMap<Arc<str>, usize>,
}

/// An instance with outdated information, or that does not report it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct OutdatedRow {
    /// Address of the instance.
    pub instance: Arc<str>,
    /// Version of the configuration in force there; `None` if it does not report it.
    pub configuration_version: Option<f64>,
    /// How long a later version has been in force elsewhere at least, in seconds; `None` if
    /// there is no later one or no instance reports it.
    pub configuration_outdated_s: Option<f64>,
    /// Age of the oldest known log position of a primary, in seconds; `None` if it does not
    /// report one.
    pub position_age_s: Option<f64>,
    /// The group of that position.
    pub position_group: Option<Arc<str>>,
    /// Time since the last answer of the store, in seconds; `None` if it does not report it, or
    /// gets the records of the store from relays.
    pub store_answer_age_s: Option<f64>,
}

/// An instance, with what the reader of a summary should know about it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub struct InstanceNote {
    /// Address of the instance.
    pub instance: Arc<str>,
    /// The note.
    pub reason: String,
}

impl InstanceNote {
    pub(super) fn new(instance: &Arc<str>, reason: &str) -> Self {
        Self { instance: instance.clone(), reason: reason.to_owned() }
    }
}
