//! Which requests without a free connection wait, in which tier, and which are refused.

use std::time::Duration;

use chervilwharf_lib::load_shedding::QueueDecision;
use chervilwharf_lib::load_shedding::WaitForecast;
use chervilwharf_lib::wait_queue::Tier;
use quickcheck::quickcheck;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Forecast for a request that meets its objective after a wait of up to 300 ms, and its
/// deadline after up to 700 ms.
fn forecast(in_time_ms: u64, late: Option<u64>, late_waiting: usize) -> WaitForecast {
    WaitForecast {
        in_time: Some(ms(in_time_ms)),
        late: late.map(ms),
        late_waiting,
        max_wait: ms(300),
        time_left: ms(700),
    }
}

#[test]
fn test_late_request_waits_behind_the_others_while_the_late_tier_is_served() {
    // Guards against requests that are refused three times within half a second although
    // the servers could serve them a little later. It happened in a moderate overload,
    // when each new request would miss its objective and was refused for that alone.
    assert_eq!(forecast(200, None, 0).decide(), QueueDecision::Wait(Tier::InTime));
    assert_eq!(
        forecast(400, None, 0).decide(),
        QueueDecision::Wait(Tier::Late),
        "measures the wait"
    );
    assert_eq!(forecast(400, Some(500), 9).decide(), QueueDecision::Wait(Tier::Late));
}

#[test]
fn test_request_that_would_miss_its_deadline_is_refused_at_once() {
    // Guards against requests that wait until their deadline and are refused only then.
    // It happened in a lasting overload, when no request of the late tier was served but
    // every request could enter it.
    assert_eq!(forecast(400, Some(900), 3).decide(), QueueDecision::Refuse(ms(100)));
    assert_eq!(
        forecast(400, None, 2).decide(),
        QueueDecision::Refuse(ms(100)),
        "two requests measure the wait"
    );
    let over = WaitForecast { max_wait: Duration::ZERO, ..forecast(0, Some(900), 0) };
    assert_eq!(
        over.decide(),
        QueueDecision::Refuse(Duration::ZERO),
        "it cannot meet its objective"
    );
}

quickcheck! {
    /// No request enters a tier whose expected wait is longer than the request can wait
    /// there.
    fn prop_no_request_waits_longer_than_it_can(in_time: u16, late: u16, max_wait: u16, left: u16) -> bool {
        let forecast = WaitForecast {
            in_time: Some(ms(in_time.into())),
            late: Some(ms(late.into())),
            late_waiting: 1,
            max_wait: ms(max_wait.into()),
            time_left: ms(left.into()),
        };
        match forecast.decide() {
            QueueDecision::Wait(Tier::InTime) => in_time <= max_wait,
            QueueDecision::Wait(Tier::Late) => late < left,
            QueueDecision::Refuse(_) => (in_time > max_wait || max_wait == 0) && late >= left,
        }
    }
}
