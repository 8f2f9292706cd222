//! Writes log events as lines to standard output.
//!
//! Emitting an event never blocks: a thread of its own writes the lines from a bounded
//! queue, and each kind of event has a limit of lines a second. Lines that exceed a bound
//! are dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::event::LineCounter;
use log::LevelFilter;

use crate::metrics::since_epoch;

/// Most lines that wait for the writer: a quarter of a megabyte at 250 bytes a line. While
/// nothing reads standard output, further lines are dropped.
const MAX_QUEUED_LINES: usize = 1024;

/// Log target of event lines; records with other targets are not written.
const EVENT_TARGET: &str = "chervilwharf::event";

struct EventLog {
    instance: Arc<str>,
    counters: Mutex<Vec<LineCounter>>,
    lines: SyncSender<String>,
    /// Number of lines dropped because the queue was full or the limit of their kind was
    /// reached.
    left_out: AtomicU64,
    queued: AtomicU64,
    written: AtomicU64,
}

static EVENT_LOG: OnceLock<EventLog> = OnceLock::new();

/// Starts logging to standard output. `instance` is the name of this instance, which each
/// line contains.
///
/// # Errors
///
/// When logging was started before.
pub fn start(instance: Arc<str>) -> Result<(), log::SetLoggerError> {
    start_with(instance, Box::new(std::io::stdout()))
}

/// Starts logging to a writer. If the writer blocks, lines are dropped once the queue is
/// full; emitting events does not block.
///
/// # Errors
///
/// When logging was started before.
pub fn start_with(
    instance: Arc<str>,
    out: Box<dyn Write + Send>,
) -> Result<(), log::SetLoggerError> {
    let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Off)
        .level_for(EVENT_TARGET, LevelFilter::Info)
        .chain(fern::Output::call(|record| queue_line(record.args().to_string())));
    dispatch.apply()?;
    let counters = Mutex::new(vec![LineCounter::default(); EventKind::ALL.len()]);
    let [left_out, queued_lines, written] = [(); 3].map(|()| AtomicU64::new(0));
    let log = EventLog { instance, counters, lines, left_out, queued: queued_lines, written };
    let started = EVENT_LOG.set(log);
    if started.is_ok() {
        std::thread::spawn(move || write_lines(&queued, out));
    }
    Ok(())
}

fn queue_line(line: String) {
    let Some(log) = EVENT_LOG.get() else {
        return;
    };
    match log.lines.try_send(line) {
        Ok(()) => log.queued.fetch_add(1, Ordering::Relaxed),
        Err(_) => log.left_out.fetch_add(1, Ordering::Relaxed),
    };
}

/// Writes queued lines. Runs on a thread of its own, since standard output can be a pipe
/// that nothing reads, and requests must not wait for it.
fn write_lines(queued: &Receiver<String>, mut out: Box<dyn Write + Send>) {
    while let Ok(line) = queued.recv() {
        // There is no other place to report a failure to write.
        let _written = out.write_all(line.as_bytes()).and_then(|()| out.write_all(b"\n"));
        let _flushed = out.flush();
        if let Some(log) = EVENT_LOG.get() {
            log.written.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Waits until all queued lines are written, at most for `limit`. Blocks the thread, so it is
/// only for the end of a process.
pub fn flush(limit: Duration) {
    let Some(log) = EVENT_LOG.get() else {
        return;
    };
    let started_at = Instant::now();
    while log.written.load(Ordering::Relaxed) < log.queued.load(Ordering::Relaxed)
        && started_at.elapsed() < limit
    {
        std::thread::sleep(FLUSH_CHECK_INTERVAL);
    }
}

/// Time between two checks whether the queued lines are written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Number of lines dropped since the start.
#[must_use]
pub fn left_out() -> u64 {
    EVENT_LOG.get().map_or(0, |log| log.left_out.load(Ordering::Relaxed))
}

/// Writes an event, unless the limit of its kind for this second is reached.
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
