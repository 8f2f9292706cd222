//! Writes log events to standard output: bounded, and never in the way.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::event::LineCounter;
use log::LevelFilter;

use crate::metrics::since_epoch;

/// Lines that wait for the writer. At 250 bytes each a quarter of a megabyte;
/// when nobody reads standard output, further lines are left out.
const QUEUE_LINES: usize = 1024;

/// Target of event lines among all log records.
const EVENT_TARGET: &str = "chervilwharf::event";

struct EventLog {
    instance: Arc<str>,
    counters: Mutex<Vec<LineCounter>>,
    lines: SyncSender<String>,
    /// Lines that found the queue full, or no budget.
    left_out: AtomicU64,
}

static EVENT_LOG: OnceLock<EventLog> = OnceLock::new();

/// Starts logging of this instance to standard output.
///
/// # Errors
///
/// When logging was started before.
pub fn start(instance: Arc<str>) -> Result<(), log::SetLoggerError> {
    start_with(instance, Box::new(std::io::stdout()))
}

/// Starts logging to a writer. It may block: only the lines behind it are
/// lost.
///
/// # Errors
///
/// When logging was started before.
pub fn start_with(
    instance: Arc<str>,
    out: Box<dyn Write + Send>,
) -> Result<(), log::SetLoggerError> {
    let (lines, queued) = sync_channel(QUEUE_LINES);
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Off)
        .level_for(EVENT_TARGET, LevelFilter::Info)
        .chain(fern::Output::call(|record| queue_line(record.args().to_string())));
    dispatch.apply()?;
    let counters = Mutex::new(vec![LineCounter::default(); EventKind::ALL.len()]);
    let left_out = AtomicU64::new(0);
    let started = EVENT_LOG.set(EventLog { instance, counters, lines, left_out });
    if started.is_ok() {
        std::thread::spawn(move || write_lines(&queued, out));
    }
    Ok(())
}

fn queue_line(line: String) {
    let Some(log) = EVENT_LOG.get() else {
        return;
    };
    if log.lines.try_send(line).is_err() {
        log.left_out.fetch_add(1, Ordering::Relaxed);
    }
}

/// One writer, on a thread of its own: standard output can be a pipe that
/// nobody reads, and a request must not wait for that.
fn write_lines(queued: &Receiver<String>, mut out: Box<dyn Write + Send>) {
    while let Ok(line) = queued.recv() {
        // Without a reader there is nobody to tell.
        let _written = out.write_all(line.as_bytes()).and_then(|()| out.write_all(b"\n"));
        let _flushed = out.flush();
    }
}

/// Lines left out so far.
#[must_use]
pub fn left_out() -> u64 {
    EVENT_LOG.get().map_or(0, |log| log.left_out.load(Ordering::Relaxed))
}

/// Writes an event, unless its kind has had its lines of this second.
pub fn emit(event: &Event) {
    let Some(log) = EVENT_LOG.get() else {
        return;
    };
    let at = since_epoch();
    let (allowed, left_out) = {
        let mut counters = log.counters.lock().expect("never poisoned");
        let counter = &mut counters[event.kind as usize];
        counter.take(at.as_secs(), event.kind.budget())
    };
    if left_out > 0 {
        let counted = Event::new(EventKind::LinesLeftOut)
            .with("of", event.kind.name())
            .with("count", left_out);
        log::info!(target: EVENT_TARGET, "{}", counted.line(at.as_millis(), &log.instance));
    }
    if !allowed {
        log.left_out.fetch_add(1, Ordering::Relaxed);
        return;
    }
    log::info!(target: EVENT_TARGET, "{}", event.line(at.as_millis(), &log.instance));
}
