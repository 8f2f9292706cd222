//! Load of a holder for a group, as the holder reports it to the instances that send
//! statements to it.
//!
//! The holders of a group are the instances that hold connections to its servers
//! (see [`crate::holders`]). A holder attaches a report to each reply to a forwarded
//! statement and to its heartbeats. The receivers use it to choose between holders.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::Priority;
use crate::id::GroupId;
use crate::id::InstanceId;
use crate::load_shedding::QueueDecision;
use crate::load_shedding::WaitForecast;
use crate::moment::Moment;
use crate::wait_estimator::WaitClass;
use crate::wait_queue::Tier;

/// A report is not used for decisions when it is older than this, the interval of
/// heartbeats between holders.
pub const LOAD_VALIDITY: Duration = Duration::from_millis(500);

/// While requests wait, a report is computed at most once in this time, a tenth of its
/// validity. Each computation walks the queue for each kind of request, and the
/// smallest instances have an eighth of a core.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// One in this many requests that all holders are expected to refuse is sent
/// nevertheless. Its reply tells the sender of the end of an overload, and an eighth of
/// the refused requests costs the holders little.
pub const PROBE_EVERY: u64 = 8;

/// The kind of a request, by which a holder predicts its wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestKind {
    /// What the request waits for.
    pub class: WaitClass,
    /// Priority of its service.
    pub priority: Priority,
}

/// What a request has to expect at a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedWait {
    /// It gets a connection after this time.
    Served(Duration),
    /// It is refused. A request that arrives after this time is expected to be admitted.
    Refused(Duration),
}

impl ExpectedWait {
    /// The expectation that follows from the forecast of a holder's queue.
    #[must_use]
    pub fn of(forecast: &WaitForecast) -> Self {
        let in_time = forecast.in_time.unwrap_or_default();
        let late = forecast.late.unwrap_or_default().max(in_time);
        match forecast.decide() {
            QueueDecision::Wait(Tier::InTime) => Self::Served(in_time),
            QueueDecision::Wait(Tier::Late) => Self::Served(late),
            QueueDecision::Refuse(after) => Self::Refused(after),
        }
    }

    /// Whether the request is expected to be refused.
    #[must_use]
    pub fn is_refusal(self) -> bool {
        matches!(self, Self::Refused(_))
    }

    /// The expected wait, or the time until a request is expected to be admitted.
    #[must_use]
    pub fn duration(self) -> Duration {
        match self {
            Self::Served(wait) | Self::Refused(wait) => wait,
        }
    }
}

/// What requests of one kind have to expect at a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitOutlook {
    /// The kind of the requests.
    pub kind: RequestKind,
    /// What they have to expect.
    pub expected: ExpectedWait,
}

/// The load of a holder for a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupLoad {
    /// Increases with each new report within one incarnation of the holder.
    pub version: u64,
    /// Number of requests that wait for a connection.
    pub waiting: usize,
    /// Expectations by kind of request; empty if nothing waits.
    pub outlooks: Vec<WaitOutlook>,
}

impl GroupLoad {
    /// What a request has to expect.
    ///
    /// A kind without an outlook has not waited at the holder. Requests of higher
    /// priority are served before it, so their outlook applies to it as a lower bound.
    #[must_use]
    pub fn expected_wait(&self, kind: RequestKind) -> ExpectedWait {
        let comparable = self.outlooks.iter().filter(|outlook| {
            outlook.kind.class == kind.class && outlook.kind.priority <= kind.priority
        });
        let closest = comparable.max_by_key(|outlook| outlook.kind.priority);
        closest.map_or(ExpectedWait::Served(Duration::ZERO), |outlook| outlook.expected)
    }
}

/// Computes the reports of a holder on one group. For each kind of request it keeps an
/// example `T`, for which the wait of that kind is predicted.
#[derive(Debug)]
pub struct LoadReporter<T> {
    examples: HashMap<RequestKind, T>,
    latest: GroupLoad,
    computed_at: Option<Moment>,
}

impl<T> Default for LoadReporter<T> {
    fn default() -> Self {
        Self { examples: HashMap::new(), latest: GroupLoad::default(), computed_at: None }
    }
}

impl<T> LoadReporter<T> {
    /// Records a request for which no connection was free, as the example of its kind.
    pub fn observe(&mut self, kind: RequestKind, example: T) {
        self.examples.insert(kind, example);
    }

    /// Whether [`Self::report`] would compute a new report.
    #[must_use]
    pub fn is_due(&self, now: Moment, waiting: usize) -> bool {
        let is_recent = self.computed_at.is_some_and(|at| at + REPORT_INTERVAL > now);
        if waiting == 0 { self.latest.waiting > 0 } else { !is_recent || self.latest.waiting == 0 }
    }

    /// The present report of a holder at which `waiting` requests wait.
    #[must_use]
    pub fn latest(&self) -> GroupLoad {
        self.latest.clone()
    }

    /// The examples of all kinds, to predict their waits.
    pub fn examples(&self) -> impl Iterator<Item = (RequestKind, &T)> {
        self.examples.iter().map(|(kind, example)| (*kind, example))
    }

    /// Replaces the report, with the outlooks of the kinds whose wait can be predicted.
    pub fn update(&mut self, now: Moment, waiting: usize, outlooks: Vec<WaitOutlook>) {
        let version = self.latest.version + 1;
        self.latest = GroupLoad { version, waiting, outlooks };
        self.computed_at = Some(now);
    }
}

/// A report that an instance received.
#[derive(Clone, Debug)]
struct ReceivedReport {
    /// When the message that it answers was sent, or when it arrived if nothing was asked.
    asked_at: Moment,
    /// The incarnation of the holder.
    life: u64,
    load: GroupLoad,
}

/// The newest report of each holder, at an instance that sends statements to them.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    reports: HashMap<GroupId, HashMap<InstanceId, ReceivedReport>>,
    /// Requests for each group that all holders were expected to refuse.
    expected_refusals: HashMap<GroupId, u64>,
}

impl LoadReports {
    /// Records the report of the incarnation `life` of a holder, which answers a message
    /// of `asked_at`.
    ///
    /// An older version is dropped. A report of another incarnation replaces the former
    /// one unless it answers an earlier message: it could be a late one of the former
    /// incarnation.
    pub fn record(
        &mut self,
        group: &GroupId,
        holder: &InstanceId,
        life: u64,
        asked_at: Moment,
        load: GroupLoad,
    ) {
        let reports = self.reports.entry(group.clone()).or_default();
        let Some(known) = reports.get_mut(holder) else {
            reports.insert(holder.clone(), ReceivedReport { asked_at, life, load });
            return;
        };
        if known.life != life {
            if asked_at >= known.asked_at {
                *known = ReceivedReport { asked_at, life, load };
            }
        } else if load.version >= known.load.version {
            let asked_at = asked_at.max(known.asked_at);
            *known = ReceivedReport { asked_at, life, load };
        }
    }

    /// What a request has to expect at a holder; `None` without a valid report.
    ///
    /// A refusal is expected only until the time at which the holder expects to admit requests
    /// again. With short backlogs, entries would otherwise refuse for the whole validity of a
    /// report what the holder can serve.
    #[must_use]
    pub fn expected_wait(
        &self,
        now: Moment,
        group: &GroupId,
        holder: &InstanceId,
        kind: RequestKind,
    ) -> Option<ExpectedWait> {
        let report = self.reports.get(group)?.get(holder)?;
        let age = now.saturating_sub(report.asked_at);
        if age >= LOAD_VALIDITY {
            return None;
        }
        match report.load.expected_wait(kind) {
            ExpectedWait::Refused(wait) if wait <= age => None,
            ExpectedWait::Refused(wait) => Some(ExpectedWait::Refused(wait.saturating_sub(age))),
            served @ ExpectedWait::Served(_) => Some(served),
        }
    }

    /// Counts a request for a group that all holders are expected to refuse. Returns
    /// whether it is sent nevertheless.
    pub fn take_probe(&mut self, group: &GroupId) -> bool {
        let count = self.expected_refusals.entry(group.clone()).or_default();
        *count += 1;
        *count % PROBE_EVERY == 0
    }

    /// Drops the reports of instances that do not exist any more.
    pub fn keep_only(&mut self, exists: impl Fn(&InstanceId) -> bool) {
        for reports in self.reports.values_mut() {
            reports.retain(|holder, _| exists(holder));
        }
        self.reports.retain(|_, reports| !reports.is_empty());
    }
}
