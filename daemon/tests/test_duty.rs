//! Who may replace a primary, as the store keeps it.

mod stubs;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::directory::Changes;
use chervilwharf_daemon::engine::directory::Currency;
use chervilwharf_daemon::engine::directory::Directory;
use chervilwharf_daemon::engine::directory::DirectoryError;
use chervilwharf_daemon::engine::directory::Entry;
use chervilwharf_daemon::engine::directory::Listing;
use chervilwharf_daemon::engine::directory::Record;
use chervilwharf_daemon::engine::directory::RecordKind;
use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::directory::WriteError;
use chervilwharf_daemon::engine::duty_control::OrderChange;
use chervilwharf_daemon::engine::duty_control::claim;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::duty::DutyOrder;
use chervilwharf_lib::duty::DutyRecord;
use stubs::NoServer;
use stubs::instance;

/// Keeps one record.
struct OneRecord(Mutex<Entry>);

impl OneRecord {
    fn duty(&self) -> DutyRecord {
        match self.0.lock().unwrap().record.clone() {
            Record::Duty(duty) => duty,
            other => panic!("{other:?}"),
        }
    }
}

#[async_trait]
impl Directory for OneRecord {
    async fn list(&self, _: RecordKind, _: Currency) -> Result<Listing, DirectoryError> {
        Err(DirectoryError::Refused(503))
    }

    async fn watch(
        &self,
        _: RecordKind,
        _: Revision,
        _: Duration,
        _: Currency,
    ) -> Result<Changes, DirectoryError> {
        Err(DirectoryError::Refused(503))
    }

    async fn get(&self, _: RecordKind, _: &str) -> Result<Option<Entry>, DirectoryError> {
        Ok(Some(self.0.lock().unwrap().clone()))
    }

    async fn write(
        &self,
        _: &str,
        record: &Record,
        expected: Option<Revision>,
    ) -> Result<Revision, WriteError> {
        let mut entry = self.0.lock().unwrap();
        if expected != Some(entry.revision) {
            return Err(WriteError::Conflict(Some(entry.clone())));
        }
        entry.revision.number += 1;
        entry.record = record.clone();
        Ok(entry.revision)
    }

    async fn remove(&self, _: RecordKind, _: &str, _: Revision) -> Result<(), WriteError> {
        Err(WriteError::Conflict(None))
    }
}

fn order(server: &str) -> DutyOrder {
    DutyOrder { server: server.into(), term: 2 }
}

#[tokio::test]
async fn test_order_of_another_instance_is_not_overwritten_by_one_that_acts_on_older_news() {
    // Symptom: two servers are promoted one after the other, and what was
    // committed at the first is lost.
    // Sequence: this instance decides to replace a primary, or to take its order
    // back; meanwhile another one takes the duty with an order of its own, and
    // this one hears of that before it writes.
    // Cause: only a record that was not known yet counted as somebody else's
    // doing; one that had been heard of was overwritten with its order.
    let duty = |token| DutyRecord {
        group: "db".into(),
        holder: "other".into(),
        life: 9,
        token,
        order: Some(order("theirs")),
    };
    let entry =
        Entry { name: "db".into(), revision: Revision::new(0, 5), record: Record::Duty(duty(4)) };
    let (engine, directory) =
        (Engine::new(instance("me"), Arc::new(NoServer)), OneRecord(Mutex::new(entry)));
    engine.with_duties(|duties| duties.learn(Revision::new(0, 5), duty(4)));
    let ours = || OrderChange::Put(Some(order("ours")));
    assert!(claim(&engine, &directory, &"db".into(), ours(), 3).await.is_none());
    assert_eq!(directory.duty(), duty(4));
    // Who decided with that record in view goes on from it.
    let claimed = claim(&engine, &directory, &"db".into(), ours(), 4).await.unwrap();
    assert_eq!((claimed.duty.token, claimed.duty.order), (5, Some(order("ours"))));
}
