//! The client workload: clients that write and read continuously, each in its own
//! sessions.
//!
//! Each client runs one session after the other on a database chosen at random. It
//! records every write with the outcome that was reported, and every read with the value
//! that it has to return at least.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_standin::platform::client::Answer;
use chervilwharf_standin::platform::client::Client;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::deployment::BOUNDED_MS;
use crate::deployment::Deployment;
use crate::deployment::OWN_MS;
use crate::deployment::added_name;
use crate::history::Cut;
use crate::history::Heard;
use crate::history::Read;
use crate::history::Sighting;
use crate::history::Write;

/// The item that one client writes and all clients read.
const SHARED_ITEM: &str = "shared";

/// Pause between two operations of a client, drawn from this range.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 1..=12;

/// Number of operations of one session, drawn from this range.
const SESSION: std::ops::RangeInclusive<u32> = 5..=60;

/// Pause between two sessions of a client, also after a failed connection attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two checks whether an instance serves an added database.
const SIGHTING_PAUSE: Duration = Duration::from_millis(60);

/// Values of acknowledged writes, each with the time at which the client received the
/// acknowledgement.
#[derive(Debug, Default)]
struct Acknowledged(Vec<(Instant, String)>);

impl Acknowledged {
    fn add(&mut self, data: String) {
        self.0.push((Instant::now(), data));
    }

    /// The newest value that was acknowledged at least `age` ago.
    fn newest(&self, age: Duration) -> Option<String> {
        let mut old = self.0.iter().rev().filter(|(at, _)| at.elapsed() >= age);
        old.next().map(|(_, data)| data.clone())
    }
}

/// State that all clients of the workload share.
pub struct Crowd {
    /// The deployment under test.
    pub deployment: Arc<Deployment>,
    /// Set when the clients have to stop.
    pub stop: AtomicBool,
    /// Number of successful operations of each client.
    pub done: Vec<AtomicU64>,
    shared: Mutex<Acknowledged>,
}

impl Crowd {
    /// Creates the state for a number of clients, and starts none of them.
    #[must_use]
    pub fn new(deployment: Arc<Deployment>, size: usize) -> Self {
        Self {
            deployment,
            stop: AtomicBool::new(false),
            done: (0..size).map(|_| AtomicU64::new(0)).collect(),
            shared: Mutex::default(),
        }
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }
}

/// One client.
pub struct Caller {
    crowd: Arc<Crowd>,
    number: usize,
    random: StdRng,
    next: u64,
    /// Acknowledged writes of this client, over all its sessions.
    acknowledged: Acknowledged,
    /// Value of the last acknowledged write in the current session.
    of_session: Option<String>,
    /// Index of the instance that the current session is connected to.
    instance: usize,
}

/// Whether the client can continue a session or has to open a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum After {
    GoOn,
    Reconnect,
}

fn after(answer: Option<&Answer>) -> After {
    match answer {
        Some(answer) if answer.state == "I" => After::GoOn,
        _ => After::Reconnect,
    }
}

fn code(answer: Option<&Answer>) -> Option<&str> {
    answer.map(Answer::code)
}

impl Caller {
    /// Creates a client whose random choices are determined by a seed.
    #[must_use]
    pub fn new(crowd: Arc<Crowd>, number: usize, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
        let acknowledged = Acknowledged::default();
        Self { crowd, number, random, next: 0, acknowledged, of_session: None, instance: 0 }
    }

    /// Runs sessions until the workload is stopped.
    pub async fn run(mut self) {
        while !self.crowd.stopped() {
            let database = match self.random.random_range(0..5) {
                _ if self.number == 0 => "latest",
                0 => "latest",
                1 => "bounded",
                _ => "own",
            };
            self.session(database).await;
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn session(&mut self, database: &str) {
        self.of_session = None;
        let instances = &self.crowd.deployment.instances;
        self.instance = self.random.random_range(0..instances.len());
        let front = instances[self.instance].front;
        let name = format!("c{}", self.number);
        let Some(mut client) = Client::try_connect(front, &name).await else {
            return;
        };
        let started = client.start_session(database).await;
        if code(started.as_ref()) != Some("DONE") {
            return;
        }
        let zone = format!("SET zone z{}", self.number);
        if code(client.try_query(&zone).await.as_ref()) != Some("DONE") {
            return;
        }
        for _ in 0..self.random.random_range(SESSION) {
            if self.crowd.stopped() {
                return;
            }
            let after = match database {
                "own" => self.use_own(&mut client).await,
                "latest" if self.number == 0 => self.write_shared(&mut client).await,
                "latest" => self.read_shared(&mut client, Duration::ZERO, "latest").await,
                _ => {
                    let age = Duration::from_millis(BOUNDED_MS);
                    self.read_shared(&mut client, age, "bounded").await
                }
            };
            if after == After::Reconnect {
                return;
            }
            let pause = self.random.random_range(PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn use_own(&mut self, client: &mut Client) -> After {
        match self.random.random_range(0..10) {
            0..=3 => self.write_own(client).await,
            4..=6 => self.transaction(client).await,
            _ => self.read_own(client).await,
        }
    }

    /// Runs a statement, and records it if the connection ends without an answer.
    async fn query(&self, client: &mut Client, text: &str) -> Option<Answer> {
        let sent_at = Instant::now();
        let answer = client.try_query(text).await;
        if answer.is_none() {
            let cut = Cut { instance: self.instance, sent_at, ended_at: Instant::now() };
            self.crowd.deployment.history.cuts.lock().expect("never poisoned").push(cut);
        }
        answer
    }

    fn next_data(&mut self) -> String {
        self.next += 1;
        format!("c{}-{}", self.number, self.next)
    }

    fn own_item(&self) -> String {
        format!("own-{}", self.number)
    }

    fn went_well(&self) {
        self.crowd.done[self.number].fetch_add(1, Ordering::SeqCst);
    }

    /// Records the outcome of a write of `data` to `items`.
    fn note(&mut self, items: &[String], ids: Vec<String>, data: &str, heard: Heard) {
        let write = Write { data: data.to_owned(), items: items.to_vec(), ids, heard };
        self.crowd.deployment.history.wrote(write);
        if heard == Heard::Kept {
            self.went_well();
        }
    }

    async fn write_own(&mut self, client: &mut Client) -> After {
        let (item, data) = (self.own_item(), self.next_data());
        let answer = self.query(client, &format!("WRITE {item} {data}")).await;
        let heard = Heard::from_code(code(answer.as_ref()));
        self.note(&[item], vec![client.last_id()], &data, heard);
        self.acknowledge(heard, data);
        after(answer.as_ref())
    }

    fn acknowledge(&mut self, heard: Heard, data: String) {
        if heard == Heard::Kept {
            self.of_session = Some(data.clone());
            self.acknowledged.add(data);
        }
    }

    async fn transaction(&mut self, client: &mut Client) -> After {
        let data = self.next_data();
        let items = [self.own_item(), format!("pair-{}", self.number)];
        let begun = self.query(client, "BEGIN").await;
        if begun.as_ref().is_none_or(|answer| answer.state != "T") {
            return after(begun.as_ref());
        }
        let mut ids = Vec::new();
        for item in &items {
            let answer = self.query(client, &format!("WRITE {item} {data}")).await;
            ids.push(client.last_id());
            if code(answer.as_ref()) != Some("DONE") {
                // COMMIT was not sent, so no write of the transaction may be stored.
                self.note(&items, ids, &data, Heard::NotKept);
                return After::Reconnect;
            }
        }
        let commits = self.random.random_range(0..5) > 0;
        let answer = self.query(client, if commits { "COMMIT" } else { "ROLLBACK" }).await;
        let heard = if commits { Heard::from_code(code(answer.as_ref())) } else { Heard::NotKept };
        self.note(&items, ids, &data, heard);
        self.acknowledge(heard, data);
        after(answer.as_ref())
    }

    async fn read_own(&mut self, client: &mut Client) -> After {
        let item = self.own_item();
        let of_session = self.of_session.clone();
        let must_see =
            of_session.or_else(|| self.acknowledged.newest(Duration::from_millis(OWN_MS)));
        let answer = self.query(client, &format!("READ {item}")).await;
        self.note_read(item, answer.as_ref(), must_see, "own writes");
        after(answer.as_ref())
    }

    async fn write_shared(&mut self, client: &mut Client) -> After {
        let (item, data) = (SHARED_ITEM.to_owned(), self.next_data());
        let answer = self.query(client, &format!("WRITE {item} {data}")).await;
        let heard = Heard::from_code(code(answer.as_ref()));
        self.note(&[item], vec![client.last_id()], &data, heard);
        if heard == Heard::Kept {
            self.crowd.shared.lock().expect("never poisoned").add(data);
        }
        after(answer.as_ref())
    }

    async fn read_shared(
        &mut self,
        client: &mut Client,
        age: Duration,
        promise: &'static str,
    ) -> After {
        let must_see = self.crowd.shared.lock().expect("never poisoned").newest(age);
        let answer = self.query(client, &format!("READ {SHARED_ITEM}")).await;
        self.note_read(SHARED_ITEM.to_owned(), answer.as_ref(), must_see, promise);
        after(answer.as_ref())
    }

    fn note_read(
        &self,
        item: String,
        answer: Option<&Answer>,
        must_see: Option<String>,
        promise: &'static str,
    ) {
        let Some(answer) = answer.filter(|answer| answer.code() == "DONE") else {
            return;
        };
        let saw = answer.rows.first().cloned().unwrap_or_default();
        self.crowd.deployment.history.read(Read { item, saw, must_see, promise });
        self.went_well();
    }
}

/// Repeatedly checks whether a random instance serves a random database that was added
/// during the run, until the workload is stopped.
pub async fn look_for_databases(crowd: Arc<Crowd>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let deployment = &crowd.deployment;
    while !crowd.stopped() {
        tokio::time::sleep(SIGHTING_PAUSE).await;
        let newest = deployment.added();
        if newest == 0 {
            continue;
        }
        let added = random.random_range(1..=newest);
        let number = random.random_range(0..deployment.instances.len());
        let instance = &deployment.instances[number];
        let life = instance.life();
        let Some(mut client) = Client::try_connect(instance.front, "look").await else {
            continue;
        };
        let answer = client.start_session(&added_name(added)).await;
        let known = match code(answer.as_ref()) {
            Some("DONE") => true,
            Some("NODB") => false,
            _ => continue,
        };
        if instance.life() == life {
            let sighting = Sighting { instance: number, life, added, known };
            deployment.history.sightings.lock().expect("never poisoned").push(sighting);
        }
    }
}
