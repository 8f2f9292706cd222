//! Tests that log lines connect a refused client to a store that does not answer.

mod stubs;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chervilwharf_daemon::engine::counted_directory::CountedDirectory;
use chervilwharf_daemon::engine::directory::Currency;
use chervilwharf_daemon::engine::directory::Directory;
use chervilwharf_daemon::engine::directory::DirectoryError;
use chervilwharf_daemon::engine::directory::RecordKind;
use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::event_log;
use chervilwharf_daemon::engine::session::Session;
use chervilwharf_daemon::engine::session::SessionStart;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::explanation::LogLine;
use chervilwharf_lib::explanation::parse_line;
use stubs::ListsOnly;
use stubs::NoServer;
use stubs::ReadOnly;

/// Collects the log in memory.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogBuffer {
    /// The first line of an event, once it is written.
    fn line_of(&self, event: &str) -> LogLine {
        loop {
            let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
            let mut lines = text.lines().filter_map(parse_line);
            if let Some(line) = lines.find(|line| line.event == event) {
                return line;
            }
            std::thread::yield_now();
        }
    }
}

/// Guards against the log of a refused session that names neither its client nor the time
/// of the last answer of the store, and so cannot be related to an unanswered call.
#[tokio::test]
async fn test_log_lines_lead_from_a_refused_session_to_an_unanswered_call() {
    let log = LogBuffer::default();
    event_log::start_with("a".into(), Box::new(log.clone())).unwrap();
    let engine = Arc::new(Engine::new(stubs::instance("a"), Arc::new(NoServer)));
    engine.set_catalog(&Arc::new(Catalog { version: 7, ..Catalog::default() }));
    engine.set_fleet_known();
    let store = ReadOnly::new(&Arc::new(ListsOnly(DirectoryError::TimedOut)));
    let directory = CountedDirectory::new(store, engine.metrics().store.clone());
    let kind = RecordKind::Configuration;
    directory.list(kind, Currency::Fresh).await.expect("lists are answered");
    let watch = directory.watch(kind, Revision::default(), Duration::ZERO, Currency::Fresh);
    watch.await.expect_err("watches are not");
    let client: SocketAddr = "10.0.0.1:4711".parse().unwrap();
    let start = SessionStart {
        database: "gone",
        key: KeyDigest::of("key"),
        client: Some(client),
        accepted_at: None,
    };
    assert!(Session::begin(engine, start).await.is_err(), "there is no such database");

    let unanswered = log.line_of("store_unanswered");
    assert_eq!(unanswered.text("kind"), Some("configuration"));
    assert_eq!(unanswered.text("call"), Some("watch"));
    assert!(unanswered.fields.contains_key("waited_ms"));
    let refused = log.line_of("session_refused");
    assert_eq!(refused.text("client"), Some("10.0.0.1:4711"));
    assert_eq!(refused.text("configuration"), Some("7"));
    assert!(refused.fields.contains_key("store_answered_ms"));
}
