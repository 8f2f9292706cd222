//! Callers that write and read all the time, each in sessions of its own.

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

/// The item that one caller writes and all read.
const SHARED_ITEM: &str = "shared";

/// Pause between two operations of a caller, at least and at most.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 1..=12;

/// Operations of one session, at least and at most.
const SESSION: std::ops::RangeInclusive<u32> = 5..=60;

/// Pause after a connection could not be had.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two looks for databases that were added.
const SIGHTING_PAUSE: Duration = Duration::from_millis(60);

/// Writes that were acknowledged, with the time at which that was heard.
#[derive(Debug, Default)]
struct Acknowledged(Vec<(Instant, String)>);

impl Acknowledged {
    fn add(&mut self, data: String) {
        self.0.push((Instant::now(), data));
    }

    /// The newest that was acknowledged at least this long ago.
    fn newest(&self, age: Duration) -> Option<String> {
        let mut old = self.0.iter().rev().filter(|(at, _)| at.elapsed() >= age);
        old.next().map(|(_, data)| data.clone())
    }
}

/// What all callers share.
pub struct Crowd {
    /// The deployment that they use.
    pub deployment: Arc<Deployment>,
    /// Set when they have to end.
    pub stop: AtomicBool,
    /// Operations that went well, by caller.
    pub done: Vec<AtomicU64>,
    shared: Mutex<Acknowledged>,
}

impl Crowd {
    /// Callers of a deployment, which do nothing yet.
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

/// One caller.
pub struct Caller {
    crowd: Arc<Crowd>,
    number: usize,
    random: StdRng,
    next: u64,
    /// Own writes that were acknowledged, over all sessions.
    acknowledged: Acknowledged,
    /// The last of them in the present session.
    of_session: Option<String>,
    /// The instance of the present session.
    instance: usize,
}

/// Whether a session can go on.
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
    /// A caller whose choices follow from a seed.
    #[must_use]
    pub fn new(crowd: Arc<Crowd>, number: usize, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
        let acknowledged = Acknowledged::default();
        Self { crowd, number, random, next: 0, acknowledged, of_session: None, instance: 0 }
    }

    /// Works until it is told to stop.
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

    /// Runs a statement, and notes it if the connection ends instead.
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

    /// Notes how a write ended. The items hold its value if it is kept.
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
                // COMMIT was never sent: nothing may be kept.
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

/// Looks all the time which of the added databases instances know.
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
