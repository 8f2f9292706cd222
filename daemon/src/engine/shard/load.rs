//! The report of a shard on its load.

use std::time::Duration;

use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::fair_order::Flow;
use chervilwharf_lib::group_load::ExpectedWait;
use chervilwharf_lib::group_load::GroupLoad;
use chervilwharf_lib::group_load::RequestKind;
use chervilwharf_lib::group_load::WaitOutlook;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::server_choice::ConnectionOwner;
use chervilwharf_lib::server_choice::Need;

use crate::engine::clock::now;
use crate::engine::shard::Inner;
use crate::engine::shard::Shard;
use crate::engine::waiting::ConnectionRequest;

/// A request for which no connection was free, as the example of its kind.
#[derive(Clone, Debug)]
pub(in crate::engine) struct WaitExample {
    need: Need,
    owner: ConnectionOwner,
    max_wait: Duration,
    time_left: Duration,
}

impl Shard {
    /// The load of this instance for the group. While nothing waits, this costs no more
    /// than the lock.
    #[must_use]
    pub fn load(&self) -> GroupLoad {
        self.lock().load(now())
    }
}

impl Inner {
    fn load(&mut self, now: Moment) -> GroupLoad {
        let waiting = self.queue.len();
        if self.load_reporter.is_due(now, waiting) {
            let outlooks = if waiting == 0 { Vec::new() } else { self.outlooks(now) };
            self.load_reporter.update(now, waiting, outlooks);
        }
        self.load_reporter.latest()
    }

    fn outlooks(&self, now: Moment) -> Vec<WaitOutlook> {
        let values = SessionValues::new();
        let outlook = |(kind, example): (RequestKind, &WaitExample)| {
            let request = ConnectionRequest {
                need: example.need.clone(),
                owner: example.owner.clone(),
                // The report is for all accounts, so it is that of an account without a backlog.
                flow: Flow::default(),
                priority: kind.priority,
                give_up_at: now + example.time_left,
                in_time_until: now + example.max_wait,
                values: &values,
                prepared: None,
            };
            let forecast = self.forecast(now, &request, example.max_wait)?;
            Some(WaitOutlook { kind, expected: ExpectedWait::of(&forecast) })
        };
        self.load_reporter.examples().filter_map(outlook).collect()
    }

    /// Records a request of a client for which no connection was free.
    pub(in crate::engine) fn observe_waiting(
        &mut self,
        now: Moment,
        request: &ConnectionRequest<'_>,
    ) {
        if matches!(request.need, Need::Server(_)) {
            return;
        }
        let kind = RequestKind { class: request.need.class(), priority: request.priority };
        let example = WaitExample {
            need: request.need.clone(),
            owner: request.owner.clone(),
            max_wait: request.in_time_until.saturating_sub(now),
            time_left: request.give_up_at.saturating_sub(now),
        };
        self.load_reporter.observe(kind, example);
    }
}
