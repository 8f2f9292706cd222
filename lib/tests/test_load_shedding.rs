//! Who waits, in which line, and who is refused.

use std::time::Duration;

use chervilwharf_lib::load_shedding::QueueDecision;
use chervilwharf_lib::load_shedding::WaitForecast;
use chervilwharf_lib::wait_queue::Tier;
use quickcheck::quickcheck;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A statement with 300 ms of patience and 700 ms until its answer is due.
fn prospect(in_time_ms: u64, late: Option<u64>, late_waiting: usize) -> WaitForecast {
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
    // Symptom: requests are refused three times within half a second though
    // the servers have time for them a little later.
    // Sequence: a moderate overload; each arrival would miss its objective.
    // Cause: refused at arrival by the objective alone.
    assert_eq!(prospect(200, None, 0).decide(), QueueDecision::Wait(Tier::InTime));
    assert_eq!(prospect(400, None, 0).decide(), QueueDecision::Wait(Tier::Late), "it measures");
    assert_eq!(prospect(400, Some(500), 9).decide(), QueueDecision::Wait(Tier::Late));
}

#[test]
fn test_request_that_would_miss_its_deadline_is_refused_at_once() {
    // Symptom: requests are held until their deadline, and then refused.
    // Sequence: a lasting overload; nobody in the late line is served.
    // Cause: a line that all may enter.
    assert_eq!(prospect(400, Some(900), 3).decide(), QueueDecision::Refuse(ms(100)));
    assert_eq!(prospect(400, None, 2).decide(), QueueDecision::Refuse(ms(100)), "two measure it");
    let over = WaitForecast { max_wait: Duration::ZERO, ..prospect(0, Some(900), 0) };
    assert_eq!(over.decide(), QueueDecision::Refuse(Duration::ZERO), "its patience is over");
}

quickcheck! {
    /// Nobody is let into a line whose expected wait is longer than the time
    /// that the request has there.
    fn prop_no_request_waits_longer_than_it_can(in_time: u16, late: u16, max_wait: u16, left: u16) -> bool {
        let prospect = WaitForecast {
            in_time: Some(ms(in_time.into())),
            late: Some(ms(late.into())),
            late_waiting: 1,
            max_wait: ms(max_wait.into()),
            time_left: ms(left.into()),
        };
        match prospect.decide() {
            QueueDecision::Wait(Tier::InTime) => in_time <= max_wait,
            QueueDecision::Wait(Tier::Late) => late < left,
            QueueDecision::Refuse(_) => (in_time > max_wait || max_wait == 0) && late >= left,
        }
    }
}
