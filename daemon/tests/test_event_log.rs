//! The event log does not wait for whoever reads it.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

use chervilwharf_daemon::engine::event_log;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;

/// A pipe that nobody reads, until it is opened.
#[derive(Clone, Default)]
struct StuckPipe {
    open: Arc<(Mutex<bool>, Condvar)>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for StuckPipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let (open, opened) = &*self.open;
        let guard = opened.wait_while(open.lock().unwrap(), |open| !*open).unwrap();
        drop(guard);
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn test_blocked_log_output_does_not_delay_callers() {
    // Symptom: all requests of an instance hang.
    // Sequence: the collector of logs stops reading standard output.
    // Cause: a request waits until its line is written.
    let pipe = StuckPipe::default();
    event_log::start_with("a".into(), Box::new(pipe.clone())).unwrap();
    // More lines than the queue holds, of kinds with budgets of their own.
    for _ in 0..200 {
        for kind in EventKind::ALL {
            event_log::emit(&Event::new(*kind).with("text", "x"));
        }
    }
    // Reaching this line is the proof; what did not fit was counted.
    assert!(event_log::left_out() > 0);
    let (open, opened) = &*pipe.open;
    *open.lock().unwrap() = true;
    opened.notify_all();
    while pipe.written.lock().unwrap().is_empty() {
        std::thread::yield_now();
    }
    let written = pipe.written.lock().unwrap().clone();
    let first = String::from_utf8(written).unwrap().lines().next().unwrap().to_owned();
    assert!(first.contains("\"instance\":\"a\""), "{first}");
}
