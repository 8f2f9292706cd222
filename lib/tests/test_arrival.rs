//! Who waits, in which line, and who is refused.

use std::time::Duration;

use chervilwharf_lib::arrival::Arrival;
use chervilwharf_lib::arrival::Prospect;
use chervilwharf_lib::wait_queue::Tier;
use quickcheck::quickcheck;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A statement with 300 ms of patience and 700 ms until its answer is due.
fn prospect(in_time_ms: u64, late: Option<u64>, late_waiting: usize) -> Prospect {
    Prospect {
        in_time: Some(ms(in_time_ms)),
        late: late.map(ms),
        late_waiting,
        patience: ms(300),
        time_left: ms(700),
    }
}

#[test]
fn test_request_that_would_be_late_waits_behind_the_others_while_that_line_moves() {
    // Symptom: requests are refused three times within half a second though
    // the servers have time for them a little later.
    // Sequence: a moderate overload; each arrival would miss its objective.
    // Cause: refused at arrival by the objective alone.
    assert_eq!(prospect(200, None, 0).decide(), Arrival::Wait(Tier::InTime));
    assert_eq!(prospect(400, None, 0).decide(), Arrival::Wait(Tier::Late), "it measures");
    assert_eq!(prospect(400, Some(500), 9).decide(), Arrival::Wait(Tier::Late));
}

#[test]
fn test_request_that_would_miss_its_deadline_is_refused_at_once() {
    // Symptom: requests are held until their deadline, and then refused.
    // Sequence: a lasting overload; nobody in the late line is served.
    // Cause: a line that all may enter.
    assert_eq!(prospect(400, Some(900), 3).decide(), Arrival::Refuse(ms(100)));
    assert_eq!(prospect(400, None, 2).decide(), Arrival::Refuse(ms(100)), "two measure it");
    let over = Prospect { patience: Duration::ZERO, ..prospect(0, Some(900), 0) };
    assert_eq!(over.decide(), Arrival::Refuse(Duration::ZERO), "its patience is over");
}

quickcheck! {
    /// Nobody is let into a line whose expected wait is longer than the time
    /// that the request has there.
    fn prop_nobody_is_held_in_vain(in_time: u16, late: u16, patience: u16, left: u16) -> bool {
        let prospect = Prospect {
            in_time: Some(ms(in_time.into())),
            late: Some(ms(late.into())),
            late_waiting: 1,
            patience: ms(patience.into()),
            time_left: ms(left.into()),
        };
        match prospect.decide() {
            Arrival::Wait(Tier::InTime) => in_time <= patience,
            Arrival::Wait(Tier::Late) => late < left,
            Arrival::Refuse(_) => (in_time > patience || patience == 0) && late >= left,
        }
    }
}
