//! What a log line costs the one who logs it.

use std::hint::black_box;
use std::io::sink;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_daemon::engine::event_log;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;

/// Lines of one measurement.
const LINES: u32 = 200_000;

/// A refused request with all its fields, the longest of the usual lines.
fn refused_request() -> Event {
    Event::new(EventKind::RequestRefused)
        .with("id", "81391e752d014b19")
        .with("database", "ledger-a")
        .with("group", "lease-ledger-1")
        .with_count("tries", 1)
        .with("server", "i-b0232c8b4e")
        .with("floor", "1/562")
        .with_ms("waited_ms", Duration::from_micros(300_200))
        .with_ms("at_server_ms", Duration::ZERO)
        .with("reason", "overloaded")
}

/// Time of one call, over many.
fn time_of(mut call: impl FnMut()) -> Duration {
    let began_at = Instant::now();
    for _ in 0..LINES {
        call();
    }
    began_at.elapsed() / LINES
}

/// Measures and prints.
///
/// # Panics
///
/// When logging was started before in this process.
pub fn run() {
    event_log::start_with("instance".into(), Box::new(sink())).expect("started once");
    let built = time_of(|| {
        black_box(refused_request());
    });
    let event = refused_request();
    let written = time_of(|| {
        black_box(event.line(1_771_966_443_123, "instance"));
    });
    // Of 200,000 in less than a second all but the budget are left out.
    let left_out = time_of(|| event_log::emit(&event));
    println!("| step | ns |\n| --- | --- |");
    println!("| the event with nine fields | {} |", built.as_nanos());
    println!("| its line as text | {} |", written.as_nanos());
    println!("| an event over its budget, left out | {} |", left_out.as_nanos());
}
