//! Follows the platform's list of servers.

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
use crate::engine::follow::Follower;
use crate::engine::follow::PEER_LISTING_TIME;
use crate::engine::follow::change_pause;
use crate::engine::follow::watch_wait;
use crate::engine::shared::Engine;

/// Tells an engine which servers the platform lists.
pub struct ServerFollower {
    engine: Arc<Engine>,
    /// Whether some servers are missing in the list and not dropped yet.
    missing: bool,
}

/// Changes within this time are read together. Far below the time in which a
/// server that leaves has to be left alone, and below a heartbeat, with which the
/// others learn of it.
const CHANGES_TOGETHER: Duration = Duration::from_millis(200);

/// How soon missing servers are looked at again.
const MISSING_CHECK: Duration = Duration::from_millis(500);

impl ServerFollower {
    /// Feeds an engine.
    #[must_use]
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine, missing: false }
    }
}

fn server_of(entry: Entry) -> Option<(GroupId, ServerInfo)> {
    match entry.record {
        Record::Server(group, info) => Some((group, info)),
        _ => None,
    }
}

impl Follower for ServerFollower {
    fn kind(&self) -> RecordKind {
        RecordKind::Servers
    }

    fn currency(&self) -> Currency {
        self.engine.store_read_currency()
    }

    /// Servers register, and report their roles, many at a time. Each change ended
    /// a watch of every relay: 602 of the 722 watches of a quiet day with 60
    /// servers and ten relays came while the servers started.
    fn pause_after_change(&self) -> Duration {
        change_pause(self.currency()).max(CHANGES_TOGETHER)
    }

    fn pause_after_first_list(&self) -> Duration {
        PEER_LISTING_TIME
    }

    fn replace(&mut self, listing: Listing) {
        let Listing { entries, unreadable, revision } = listing;
        let mut servers: Vec<_> = entries.into_iter().filter_map(server_of).collect();
        self.missing = self.engine.update_servers(|list| {
            servers.extend(unreadable.iter().filter_map(|id| list.listed(id)));
            list.replace(now(), revision, servers);
        });
    }

    fn change(&mut self, revision: Revision, changes: Vec<Change>) {
        self.missing = self.engine.update_servers(|list| {
            for change in changes {
                match change {
                    Change::Present(entry) => {
                        if let Some((group, info)) = server_of(entry) {
                            list.present(group, info);
                        }
                    }
                    Change::Removed(id) => list.missing(now(), &id),
                }
            }
            list.advance(revision);
        });
    }

    fn tick(&mut self) {
        if self.missing {
            self.missing = self.engine.update_servers(|_| {});
        }
    }

    fn wait_limit(&self) -> Duration {
        if self.missing { MISSING_CHECK } else { watch_wait(self.currency()) }
    }

    fn outage(&mut self, lasting: bool) {
        self.engine.set_servers_outage(lasting);
    }
}
