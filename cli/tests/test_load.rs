//! Tests of the command `load` as a process, against stand-ins of instances.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

const METRICS: &str = r#"chervilwharf_waiting_by_priority{group="orders",priority="5"} 5
chervilwharf_longest_wait_seconds{group="orders",priority="5"} 0.4
chervilwharf_quota_shards{role="keeper"} 2
chervilwharf_quota_shards{role="share_counted"} 1
chervilwharf_quota_shards{role="share_standby"} 0
chervilwharf_configuration_version 12
chervilwharf_configuration_age_seconds 30
"#;

/// A stand-in of an instance. It answers each connection with what `answer` returns for the
/// number of connections before, and closes it.
fn serve(answer: impl Fn(usize) -> String + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            // A client that has gone away is of no interest to the test.
            let _ = reply(stream.unwrap(), &answer(number));
        }
    });
    address
}

fn reply(mut stream: TcpStream, answer: &str) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte)? == 0 {
            return Ok(());
        }
        request.extend(byte);
    }
    assert!(request.starts_with(b"GET /metrics HTTP/1.1\r\n"));
    stream.write_all(answer.as_bytes())
}

fn with_status(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}

fn ok(body: &str) -> String {
    with_status("200 OK", body)
}

fn load(arguments: &[&str]) -> Output {
    let command =
        Command::new(env!("CARGO_BIN_EXE_chervilwharf")).arg("load").args(arguments).output();
    command.unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// An address of the loopback interface at which nothing listens.
fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

#[test]
fn test_load_prints_one_summary_of_all_instances() {
    let (a, b) = (serve(|_| ok(METRICS)).to_string(), serve(|_| ok(METRICS)).to_string());
    let output = load(&[&a, &b]);
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.starts_with("2 instances read, 0 not; configuration 12\n"), "{text}");
    assert!(text.contains("orders  5         10       0.400      2\n"), "{text}");
    assert!(text.contains("refused, by group, priority and reason, since the start"), "{text}");
    assert!(text.contains(&a) && text.contains(&b), "{text}");
}

/// Guards against one instance that cannot be read and hides the state of all others, and
/// against a success that is reported although instances are missing.
#[test]
fn test_unreadable_instances_are_named_and_the_rest_is_shown() {
    let good = serve(|_| ok(METRICS)).to_string();
    let other = serve(|_| ok("<html>hello</html>")).to_string();
    let failing = serve(|_| with_status("503 Service Unavailable", "stopping")).to_string();
    let killed = serve(|_| "HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\nchervil".to_owned());
    let (killed, closed) = (killed.to_string(), closed_address().to_string());
    let output = load(&[&good, &other, &failing, &killed, &closed]);
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.starts_with("1 instances read, 4 not; configuration 12\n"), "{text}");
    assert!(text.contains(&format!("not read: {other}: the answer has no metrics\n")), "{text}");
    assert!(
        text.contains(&format!("not read: {failing}: it answered with status 503\n")),
        "{text}"
    );
    assert!(text.contains(&format!("not read: {killed}: ")), "{text}");
    assert!(text.contains(&format!("not read: {closed}: Connection refused")), "{text}");
    assert!(text.contains("orders  5         5        0.400      1\n"), "{text}");
}

#[test]
fn test_invalid_arguments_are_refused_and_named() {
    let cases: [(&[&str], &str); 9] = [
        (&[], "no address given"),
        (&["127.0.0.1:1", "10.0.0.5"], "\"10.0.0.5\""),
        (&["10.0.0:9090"], "\"10.0.0:9090\""),
        (&["10.0.0.256:9090"], "\"10.0.0.256:9090\""),
        (&["host:0"], "\"host:0\""),
        (&["http://host:9090"], "\"http://host:9090\""),
        (&["host:9090/metrics"], "\"host:9090/metrics\""),
        (&["host:1", "host:1"], "\"host:1\" is given twice"),
        (&["host:1", "--watch", "0"], "--watch"),
    ];
    for (arguments, expected) in cases {
        let output = load(arguments);
        let message = String::from_utf8(output.stderr.clone()).unwrap();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {message}");
        assert!(message.contains(expected), "{arguments:?}: {message}");
        assert!(output.stdout.is_empty());
    }
}

#[test]
fn test_json_is_one_object_for_each_read() {
    let address = serve(|_| ok(METRICS)).to_string();
    let output = load(&[&address, "--json", "--top", "0"]);
    assert_eq!(output.status.code(), Some(0));
    let value: Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(value["instances_read"], 1);
    assert_eq!(value["counts"], "total");
    assert_eq!(value["waiting"]["rows"], Value::Array(Vec::new()));
    assert_eq!(value["waiting"]["rows_omitted"], 1);
}

/// Guards against instances that are read one after the other: with 100 of them, a summary would
/// be a minute old when it is printed.
#[test]
fn test_instances_are_read_concurrently() {
    let slow = |_| {
        std::thread::sleep(Duration::from_millis(300));
        ok(METRICS)
    };
    let addresses: Vec<_> = (0..40).map(|_| serve(slow).to_string()).collect();
    let arguments: Vec<_> = addresses.iter().map(String::as_str).collect();
    let began_at = Instant::now();
    let output = load(&arguments);
    assert_eq!(output.status.code(), Some(0));
    // One after the other, they take 12 s.
    assert!(began_at.elapsed() < Duration::from_secs(6), "{:?}", began_at.elapsed());
    assert!(stdout(&output).starts_with("40 instances read"));
}

/// Guards against rates of an instance that was restarted, and against a command that does not
/// end, or ends as a failure, when it is interrupted.
#[test]
fn test_watch_prints_rates_until_it_is_interrupted() {
    let reads = Arc::new(AtomicUsize::new(0));
    let counted = reads.clone();
    let address = serve(move |number| {
        counted.store(number + 1, Ordering::Relaxed);
        // The second read follows a restart; the third has ten refusals more.
        let refused = [100, 2, 12][number.min(2)];
        let labels = "group=\"orders\",priority=\"5\",reason=\"overloaded\"";
        ok(&format!("{METRICS}chervilwharf_refused_total{{{labels}}} {refused}\n"))
    });
    let mut child = Command::new(env!("CARGO_BIN_EXE_chervilwharf"))
        .args(["load", &address.to_string(), "--watch", "1", "--json"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let deadline = Instant::now() + Duration::from_secs(60);
    while reads.load(Ordering::Relaxed) < 4 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(20));
    }
    let interrupted = Command::new("kill").args(["-INT", &child.id().to_string()]).status();
    assert!(interrupted.unwrap().success());
    let mut text = String::new();
    child.stdout.take().unwrap().read_to_string(&mut text).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0));
    let summaries: Vec<Value> =
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert!(summaries.len() >= 3, "{text}");
    let refused = |read: usize| &summaries[read]["refused"]["rows"];
    assert_eq!(
        (&summaries[0]["counts"], &refused(0)[0]["refused"]),
        (&"total".into(), &100.0.into())
    );
    assert_eq!(summaries[1]["counts"], "per_second");
    assert_eq!(*refused(1), Value::Array(Vec::new()));
    assert_eq!(summaries[1]["counts_omitted"][0]["instance"], address.to_string());
    let rate = refused(2)[0]["refused"].as_f64().unwrap();
    assert!(rate > 0.0 && rate <= 10.5, "{rate}");
    assert_eq!(summaries[2]["counts_omitted"], Value::Array(Vec::new()));
}
