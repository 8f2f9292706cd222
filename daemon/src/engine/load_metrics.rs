//! Counters of decisions by the load of holders.

use chervilwharf_lib::id::GroupId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// Labels of a decision by load.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct LoadLabels {
    /// The group.
    pub group: String,
    /// The decision.
    pub decision: &'static str,
}

/// A decision by load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadDecision {
    /// The second candidate was chosen in place of the first.
    Second,
    /// Another holder was tried after one that refused.
    AfterRefusal,
    /// A holder sent a request of its own client to another holder.
    PassedOn,
    /// The request was refused at once, since all holders were expected to refuse it.
    RefusedAtOnce,
    /// The request was sent although all holders were expected to refuse it.
    Probe,
}

impl LoadDecision {
    fn name(self) -> &'static str {
        match self {
            Self::Second => "second",
            Self::AfterRefusal => "after_refusal",
            Self::PassedOn => "passed_on",
            Self::RefusedAtOnce => "refused_at_once",
            Self::Probe => "probe",
        }
    }
}

/// Requests that were served elsewhere, or not at all, because of the load of holders.
#[derive(Clone, Debug, Default)]
pub struct LoadMetrics {
    /// Number of requests.
    pub decisions: Family<LoadLabels, Counter>,
}

impl LoadMetrics {
    /// Counts a decision.
    pub fn record(&self, group: &GroupId, decision: LoadDecision) {
        let labels = LoadLabels { group: group.to_string(), decision: decision.name() };
        self.decisions.get_or_create(&labels).inc();
    }
}
