//! Tests of the renewal of leases on primaries by reads of the store.

mod stubs;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::directory::Changes;
use chervilwharf_daemon::engine::directory::Currency;
use chervilwharf_daemon::engine::directory::DirectoryError;
use chervilwharf_daemon::engine::directory::Entry;
use chervilwharf_daemon::engine::directory::Listing;
use chervilwharf_daemon::engine::directory::Record;
use chervilwharf_daemon::engine::directory::RecordKind;
use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::primary_lease_control::renew_leases_from_store;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::duty::DutyOrder;
use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::primary_lease::RESTART_PROMISE_WINDOW;
use chervilwharf_lib::replica_set::ReplicaSet;
use chervilwharf_lib::voter_set::VoterSet;
use stubs::NoServer;
use stubs::ReadOnly;
use stubs::StoreReads;

/// Term of all primaries.
const TERM: u64 = 2;

/// A store with a duty for each of its groups, which counts the reads.
#[derive(Default)]
struct DutyStore {
    groups: usize,
    /// Groups whose primary an order is to replace.
    replaced: Vec<GroupId>,
    /// Groups whose record cannot be decoded.
    unreadable: Vec<GroupId>,
    listings: AtomicUsize,
    single_reads: AtomicUsize,
}

impl DutyStore {
    fn entry(&self, group: &GroupId) -> Entry {
        let order = DutyOrder { server: "other".into(), term: TERM + 1 };
        let record = DutyRecord {
            group: group.clone(),
            holder: "holder".into(),
            life: 1,
            token: 5,
            order: self.replaced.contains(group).then_some(order),
            retired: 0,
            voters: VoterSet::first(0, vec!["one".into()]),
            replicas: ReplicaSet::default(),
            admits_readers: false,
        };
        let revision = Revision::new(0, 9);
        Entry { name: group.clone(), revision, record: Record::Duty(record) }
    }
}

#[async_trait]
impl StoreReads for DutyStore {
    async fn list(&self, _: RecordKind, _: Currency) -> Result<Listing, DirectoryError> {
        self.listings.fetch_add(1, Ordering::SeqCst);
        let readable = (0..self.groups).map(group).filter(|group| !self.unreadable.contains(group));
        let entries = readable.map(|group| self.entry(&group)).collect();
        Ok(Listing { entries, revision: Revision::new(0, 10), ..Listing::default() })
    }

    async fn watch(
        &self,
        _: RecordKind,
        _: Revision,
        _: Duration,
        _: Currency,
    ) -> Result<Changes, DirectoryError> {
        std::future::pending().await
    }

    async fn get(&self, _: RecordKind, name: &str) -> Result<Option<Entry>, DirectoryError> {
        self.single_reads.fetch_add(1, Ordering::SeqCst);
        let group: GroupId = name.into();
        if self.unreadable.contains(&group) {
            return Err(DirectoryError::RecordUnreadable(Revision::new(0, 9)));
        }
        Ok(Some(self.entry(&group)))
    }
}

fn group(number: usize) -> GroupId {
    format!("g{number}").into()
}

/// An instance that holds all groups and uses the primaries of some, without any lease.
fn engine(groups: usize, used: usize) -> Arc<Engine> {
    let engine = Arc::new(Engine::new(stubs::instance("one"), Arc::new(NoServer)));
    let settings = GroupSettings { max_connections: 30, sync_replicas: 0 };
    let groups = (0..groups).map(|number| (group(number), settings.clone()));
    let groups: HashMap<_, _> = groups.collect();
    assert!(engine.set_catalog(&Arc::new(Catalog { version: 1, groups, ..Catalog::default() })));
    engine.set_fleet_known();
    engine.set_registered();
    for number in 0..used {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let shard = engine.shard(&group(number));
        stubs::set_only_voter(&engine, &group(number));
        shard.set_servers(vec![stubs::primary("p".into(), address)]);
        let received = Position::new(TERM, 1);
        let (applied, lag) = (received, Duration::ZERO);
        let status = ServerStatus { leads: true, term: TERM, received, applied, lag };
        shard.with_group(|group| group.observe_status(now(), now(), &"p".into(), status));
    }
    engine
}

/// Whether a lease was granted; it may have ended on a busy machine.
fn got_lease(engine: &Engine, number: usize) -> bool {
    let shard = engine.shard(&group(number));
    shard.with_group(|group| group.primary_lease().lease_end(TERM).is_some())
}

/// Waits until reads of the store count after the start, and renews the leases. Returns the
/// number of listings and of single reads.
async fn renew(engine: &Arc<Engine>, store: &Arc<DutyStore>) -> (usize, usize) {
    while !engine.has_run_for(RESTART_PROMISE_WINDOW) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    renew_leases_from_store(engine.clone(), ReadOnly::new(store)).await;
    (store.listings.load(Ordering::SeqCst), store.single_reads.load(Ordering::SeqCst))
}

/// Guards against a store whose link is busy with the duties of all groups, of which each of
/// many instances without leases needs a few.
#[tokio::test]
async fn test_leases_on_few_groups_are_renewed_by_reads_of_these_groups() {
    let with_groups =
        |groups| (engine(groups, 3), Arc::new(DutyStore { groups, ..DutyStore::default() }));
    for (engine, store) in [250, 1_000, 2_000].map(with_groups) {
        // Soon after the start, and later.
        renew_leases_from_store(engine.clone(), ReadOnly::new(&store)).await;
        assert_eq!(store.single_reads.load(Ordering::SeqCst), 3);
        assert!((0..3).all(|number| got_lease(&engine, number)));
        let later_store = Arc::new(DutyStore { groups: store.groups, ..DutyStore::default() });
        let (listings, single_reads) = renew(&engine, &later_store).await;
        assert!(listings == 0 && single_reads <= 3, "{listings} and {single_reads} reads");
        assert!((0..3).all(|number| got_lease(&engine, number)));
    }
}

/// Leases on many groups take one reading of all duties: each call has a price. Right after the
/// start they take none, since the voters grant them soon.
#[tokio::test]
async fn test_leases_on_many_groups_are_renewed_by_one_listing() {
    let store = Arc::new(DutyStore { groups: 40, ..DutyStore::default() });
    let engine = engine(40, 20);
    renew_leases_from_store(engine.clone(), ReadOnly::new(&store)).await;
    assert_eq!(store.listings.load(Ordering::SeqCst), 0);
    assert_eq!(renew(&engine, &store).await, (1, 0));
    assert!((0..20).all(|number| got_lease(&engine, number)));
}

/// Guards against a primary that is used although an order is to replace it.
#[tokio::test]
async fn test_read_of_an_order_to_replace_the_primary_grants_no_lease() {
    let replaced = vec![group(1)];
    let store = Arc::new(DutyStore { groups: 3, replaced, ..DutyStore::default() });
    let engine = engine(3, 3);
    assert_eq!(renew(&engine, &store).await, (0, 3));
    assert_eq!([0, 1, 2].map(|number| got_lease(&engine, number)), [true, false, true]);
}

/// Guards against leases that are not renewed because another writer left a record that
/// cannot be decoded.
#[tokio::test]
async fn test_unreadable_duty_does_not_keep_other_leases_from_renewal() {
    let unreadable = vec![group(1)];
    let store = Arc::new(DutyStore { groups: 3, unreadable, ..DutyStore::default() });
    let engine = engine(3, 3);
    assert_eq!(renew(&engine, &store).await.0, 1);
    assert!(got_lease(&engine, 0) && got_lease(&engine, 2));
}
