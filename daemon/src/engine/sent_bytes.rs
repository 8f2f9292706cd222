//! Count of the bytes that this process sends to other instances and to servers, by kind of
//! message and by whether they leave the failure domain.
//!
//! Like the log, the count belongs to the process. Where messages are sent, only the address of
//! the receiver is known. The failure domains are looked up in the lists of instances and
//! servers when the metrics are read.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::sync::Mutex;

use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::id::FailureDomainId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::engine::shared::Engine;

/// Kind of the bytes that are sent to a server, directly or through a tunnel.
pub const TO_SERVER: &str = "server";

/// Kind of the bytes that a tunnel of another instance passes on, in both directions.
pub const TUNNELLED: &str = "tunnelled";

/// Bytes in front of each message between instances.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Most pairs of a kind and a receiver that are counted between two readings of the metrics.
/// Fleets of some thousand instances with all kinds of messages stay below it.
const MAX_ENTRIES: usize = 65_536;

/// Labels of sent bytes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct SentLabels {
    /// Kind of the message.
    pub kind: &'static str,
    /// Whether the receiver is in another failure domain: `yes`, `no` or `unknown`.
    pub crossing: &'static str,
}

/// Where bytes were sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Receiver {
    /// The address that an instance or a server listens on.
    Listener(SocketAddr),
    /// The host of an instance that opened a connection.
    Host(IpAddr),
}

static SENT: LazyLock<Mutex<HashMap<(&'static str, Receiver), u64>>> =
    LazyLock::new(Mutex::default);

fn add(kind: &'static str, receiver: Receiver, bytes: u64) {
    let mut sent = SENT.lock().expect("never poisoned");
    if sent.len() < MAX_ENTRIES || sent.contains_key(&(kind, receiver)) {
        *sent.entry((kind, receiver)).or_default() += bytes;
    }
}

/// Counts bytes that are sent to the address that an instance or a server listens on.
pub fn count(kind: &'static str, address: SocketAddr, bytes: usize) {
    add(kind, Receiver::Listener(address), bytes as u64);
}

/// Counts a message that is sent to the address that an instance listens on.
pub fn count_request(body: Option<&Body>, address: SocketAddr, bytes: usize) {
    count(kind_of(body), address, bytes + LENGTH_PREFIX_BYTES);
}

/// Counts the answer to an instance that opened a connection from `address`.
pub fn count_answer(body: Option<&Body>, address: SocketAddr, bytes: usize) {
    let bytes = bytes + LENGTH_PREFIX_BYTES;
    add(kind_of(body), Receiver::Host(address.ip()), bytes as u64);
}

/// Counts bytes that a tunnel passed on to the instance that opened it from `address`.
pub fn count_tunnelled_back(address: SocketAddr, bytes: u64) {
    add(TUNNELLED, Receiver::Host(address.ip()), bytes);
}

fn kind_of(body: Option<&Body>) -> &'static str {
    match body {
        Some(Body::Heartbeat(_)) => "heartbeat",
        Some(Body::HeartbeatReply(_)) => "heartbeat_reply",
        Some(Body::LeaderQuery(_)) => "leader_query",
        Some(Body::LeaderReply(_)) => "leader_reply",
        Some(Body::DirectoryPull(_)) => "directory_pull",
        Some(Body::DirectoryState(_)) => "directory_state",
        Some(Body::DirectoryTaken(_)) => "directory_taken",
        Some(Body::Tunnel(_)) => "tunnel",
        Some(Body::TunnelReply(_)) => "tunnel_reply",
        Some(Body::Statement(_)) => "statement",
        Some(Body::StatementReply(_)) => "statement_reply",
        Some(Body::TermEnd(_)) => "term_end",
        Some(Body::TermEndReply(_)) => "term_end_reply",
        Some(Body::PrimaryNews(_)) => "primary_news",
        Some(Body::PrimaryNewsTaken(_)) => "primary_news_taken",
        Some(Body::SignOfLife(_)) => "sign_of_life",
        Some(Body::SignOfLifeReply(_)) => "sign_of_life_reply",
        Some(Body::KeeperVote(_)) => "keeper_vote",
        Some(Body::KeeperVoteReply(_)) => "keeper_vote_reply",
        Some(Body::QuotaQuestion(_)) => "quota_question",
        Some(Body::QuotaReply(_)) => "quota_reply",
        Some(Body::ShareQuestion(_)) => "share_question",
        Some(Body::ShareReply(_)) => "share_reply",
        Some(Body::VotersChange(_)) => "voters_change",
        Some(Body::VotersChangeReply(_)) => "voters_change_reply",
        None => "empty",
    }
}

/// Failure domains of the instances and servers that are known.
#[derive(Default)]
struct Domains {
    by_address: HashMap<SocketAddr, FailureDomainId>,
    /// `None` for a host with instances of several failure domains.
    by_host: HashMap<IpAddr, Option<FailureDomainId>>,
}

impl Domains {
    fn of(engine: &Engine) -> Self {
        let mut domains = Self::default();
        for (_, server) in engine.listed_servers().1 {
            domains.by_address.insert(server.address, server.failure_domain);
        }
        engine.with_fleet(|fleet| {
            for record in fleet.others().chain([engine.me()]) {
                let domain = &record.failure_domain;
                domains.by_address.insert(record.peer_address, domain.clone());
                let known = domains.by_host.entry(record.peer_address.ip());
                let known = known.or_insert_with(|| Some(domain.clone()));
                known.take_if(|known| known != domain);
            }
        });
        domains
    }

    fn find(&self, receiver: Receiver) -> Option<&FailureDomainId> {
        match receiver {
            Receiver::Listener(address) => self.by_address.get(&address),
            Receiver::Host(host) => self.by_host.get(&host)?.as_ref(),
        }
    }
}

/// Adds what was sent since the last call to the metric.
pub fn update(engine: &Engine, metric: &Family<SentLabels, Counter>) {
    let sent = std::mem::take(&mut *SENT.lock().expect("never poisoned"));
    let domains = Domains::of(engine);
    for ((kind, receiver), bytes) in sent {
        let crossing = match domains.find(receiver) {
            Some(domain) if *domain == engine.me().failure_domain => "no",
            Some(_) => "yes",
            None => "unknown",
        };
        metric.get_or_create(&SentLabels { kind, crossing }).inc_by(bytes);
    }
}
