//! Length of the queue at a server to which all instances send more than it can execute.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use chervilwharf_lib::concurrency::ConcurrencyLimit;
use chervilwharf_lib::statement_timing;

/// Statements that the server executes at the same time.
const SLOTS: usize = 3;

/// Instances that send statements to the server.
const INSTANCES: usize = 8;

/// Execution time of each statement in its slot.
const WORK: Duration = Duration::from_millis(18);

/// Latency objective of the requests.
const OBJECTIVE: Duration = Duration::from_millis(400);

/// Duration of the simulated overload.
const LENGTH: Duration = Duration::from_secs(20);

/// A statement in the server's queue.
#[derive(Clone, Copy)]
struct Sent {
    instance: usize,
    at: Duration,
}

/// The server and the concurrency limits of the instances, on a virtual clock.
struct Overload {
    now: Duration,
    limits: Vec<ConcurrencyLimit>,
    running: Vec<usize>,
    queue: VecDeque<Sent>,
    /// Statements in slots, as end time, instance and time of sending.
    slots: BinaryHeap<Reverse<(Duration, usize, Duration)>>,
    times: Vec<Duration>,
}

impl Overload {
    fn new() -> Self {
        Self {
            now: Duration::ZERO,
            limits: vec![ConcurrencyLimit::default(); INSTANCES],
            running: vec![0; INSTANCES],
            queue: VecDeque::new(),
            slots: BinaryHeap::new(),
            times: Vec::new(),
        }
    }

    /// Sends as many statements as each instance may, and fills free slots from the
    /// queue. The instances always have more to send.
    fn send(&mut self) {
        for instance in 0..INSTANCES {
            while self.limits[instance].allows(self.running[instance]) {
                self.running[instance] += 1;
                self.queue.push_back(Sent { instance, at: self.now });
            }
        }
        while self.slots.len() < SLOTS {
            let Some(sent) = self.queue.pop_front() else {
                return;
            };
            self.slots.push(Reverse((self.now + WORK, sent.instance, sent.at)));
        }
    }

    fn finish_next(&mut self) {
        let Some(Reverse((ends_at, instance, sent_at))) = self.slots.pop() else {
            return;
        };
        self.now = ends_at;
        let took = ends_at.saturating_sub(sent_at);
        let slow_threshold = statement_timing::slow_threshold(OBJECTIVE);
        let others = self.running[instance] - 1;
        self.limits[instance].answered(ends_at, others, took, slow_threshold);
        self.running[instance] -= 1;
        self.times.push(took);
    }
}

/// Guards against urgent requests that wait as long as all others while a server is
/// overloaded. Eight instances each keep three statements at a server with three slots,
/// which serves them first come, first served. That happens if a statement indicates a
/// queue only from half of the objective on.
///
/// Time of a statement at the server under this load, of which 18 ms are execution:
/// 198 ms with a threshold of half of the objective, 67 ms with a sixth.
#[test]
fn test_queue_at_an_overloaded_server_stays_short_and_its_slots_stay_busy() {
    let mut overload = Overload::new();
    while overload.now < LENGTH {
        overload.send();
        overload.finish_next();
    }
    let settled = &overload.times[overload.times.len() / 2..];
    let count = u32::try_from(settled.len()).unwrap();
    let mean = settled.iter().sum::<Duration>() / count;
    println!("mean time at the server: {mean:?}");
    assert!(mean < OBJECTIVE / 5, "{mean:?}");
    // The slots stay busy: three slots at 18 ms per statement for 20 s.
    let possible = SLOTS as u128 * (LENGTH.as_millis() / WORK.as_millis());
    assert!(overload.times.len() as u128 + 10 >= possible, "{}", overload.times.len());
}
