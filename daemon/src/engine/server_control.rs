//! Keeps the servers of an engine up to date with the platform's list of servers.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::GroupId;

use crate::engine::clock::now;
use crate::engine::directory::Change;
use crate::engine::directory::Currency;
use crate::engine::directory::Entry;
use crate::engine::directory::Listing;
use crate::engine::directory::Record;
use crate::engine::directory::RecordKind;
use crate::engine::directory::Revision;
use crate::engine::record_watch::PEER_LISTING_TIME;
use crate::engine::record_watch::RecordWatcher;
use crate::engine::record_watch::change_pause;
use crate::engine::record_watch::watch_wait;
use crate::engine::shared::Engine;

/// Passes the servers that the platform lists to an engine.
pub struct ServerRecordWatcher {
    engine: Arc<Engine>,
    /// Whether servers that are missing in the list have not been dropped yet.
    has_missing: bool,
}

/// Pause after a change, so that one watch returns all changes within it. It is far below
/// the time in which a leaving server must get no more requests, and below the interval of
/// the heartbeats by which other instances detect the change.
const CHANGE_BATCH_PAUSE: Duration = Duration::from_millis(200);

/// Interval of the checks whether missing servers are to be dropped.
const MISSING_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl ServerRecordWatcher {
    /// Creates a watcher that updates `engine`.
    #[must_use]
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine, has_missing: false }
    }
}

fn into_server(entry: Entry) -> Option<(GroupId, ServerInfo)> {
    match entry.record {
        Record::Server(group, info) => Some((group, info)),
        _ => None,
    }
}

impl RecordWatcher for ServerRecordWatcher {
    fn kind(&self) -> RecordKind {
        RecordKind::Servers
    }

    fn currency(&self) -> Currency {
        self.engine.store_read_currency()
    }

    fn follows_relays(&self) -> bool {
        true
    }

    fn is_served_by_others(&self) -> bool {
        self.engine.is_served_by_relays()
    }

    fn known_revision(&self) -> Revision {
        self.engine.servers_revision()
    }

    fn unchanged(&mut self, revision: Revision) {
        self.engine.update_servers(|list| list.advance(revision));
    }

    /// Many servers register and report their roles at the same time. Without a pause each
    /// change would end a watch of every relay, and most watches of a day without load would
    /// be made while the servers start.
    fn pause_after_change(&self) -> Duration {
        change_pause(self.currency()).max(CHANGE_BATCH_PAUSE)
    }

    fn pause_after_first_listing(&self) -> Duration {
        PEER_LISTING_TIME
    }

    fn replace(&mut self, listing: Listing) {
        let Listing { entries, unreadable, revision } = listing;
        let mut servers: Vec<_> = entries.into_iter().filter_map(into_server).collect();
        self.has_missing = self.engine.update_servers(|list| {
            servers.extend(unreadable.iter().filter_map(|id| list.listed(id)));
            list.replace(now(), revision, servers);
        });
    }

    fn change(&mut self, revision: Revision, changes: Vec<Change>) {
        self.has_missing = self.engine.update_servers(|list| {
            for change in changes {
                match change {
                    Change::Present(entry) => {
                        if let Some((group, info)) = into_server(entry) {
                            list.upsert(group, info);
                        }
                    }
                    Change::Removed(id) => list.missing(now(), &id),
                }
            }
            list.advance(revision);
        });
    }

    fn tick(&mut self) {
        if self.has_missing {
            self.has_missing = self.engine.update_servers(|_| {});
        }
    }

    fn wait_limit(&self) -> Duration {
        if self.has_missing { MISSING_CHECK_INTERVAL } else { watch_wait(self.currency()) }
    }

    fn outage(&mut self, lasting: bool) {
        self.engine.set_servers_outage(lasting);
    }
}
