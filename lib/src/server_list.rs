//! The servers that the platform lists, kept through gaps of its list.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::group::ServerInfo;
use crate::id::GroupId;
use crate::id::TargetId;
use crate::moment::Moment;

/// A server as it was last listed.
#[derive(Clone, Debug)]
struct ListedServer {
    group: GroupId,
    info: ServerInfo,
    /// Since when the list lacks it.
    missing_since: Option<Moment>,
}

/// A server that the list lacks is still used for this long: entries expire
/// while the store is down, and living servers are back two seconds after.
/// Far below the time after which a server that left may get no request.
const MISSING_GRACE: Duration = Duration::from_millis(3_500);

/// Servers of all groups.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    servers: HashMap<TargetId, ListedServer>,
    /// Revision of the store up to which the list is known.
    revision: u64,
    /// Groups that were told of servers once, to tell them when all are gone.
    groups: HashSet<GroupId>,
}

impl ServerList {
    /// Revision of the store up to which the list is known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The list is known up to this revision.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// A server is listed.
    pub fn present(&mut self, group: GroupId, info: ServerInfo) {
        let id = info.id.clone();
        self.servers.insert(id, ListedServer { group, info, missing_since: None });
    }

    /// A server is not listed any more.
    pub fn missing(&mut self, now: Moment, id: &str) {
        let Some(listed) = self.servers.get_mut(id) else {
            return;
        };
        if listed.info.draining {
            self.servers.remove(id);
            return;
        }
        listed.missing_since.get_or_insert(now);
    }

    /// These are all servers that are listed.
    pub fn replace(&mut self, now: Moment, listed: Vec<(GroupId, ServerInfo)>) {
        let ids: HashSet<_> = listed.iter().map(|(_, info)| info.id.clone()).collect();
        for (group, info) in listed {
            self.present(group, info);
        }
        let missing: Vec<_> =
            self.servers.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        for id in missing {
            self.missing(now, &id);
        }
    }

    /// Drops servers that have been missing for too long. Returns whether
    /// others are still missing.
    pub fn drop_missing(&mut self, now: Moment) -> bool {
        let over = |listed: &ListedServer| {
            listed.missing_since.is_some_and(|at| at + MISSING_GRACE <= now)
        };
        self.servers.retain(|_, listed| !over(listed));
        self.servers.values().any(|listed| listed.missing_since.is_some())
    }

    /// Servers by group, with an empty list for a group that has none left.
    pub fn by_group(&mut self) -> HashMap<GroupId, Vec<ServerInfo>> {
        let mut groups: HashMap<GroupId, Vec<ServerInfo>> =
            self.groups.iter().map(|group| (group.clone(), Vec::new())).collect();
        for listed in self.servers.values() {
            groups.entry(listed.group.clone()).or_default().push(listed.info.clone());
        }
        self.groups.extend(groups.keys().cloned());
        groups
    }

    /// All servers with their groups.
    pub fn all(&self) -> impl Iterator<Item = (&GroupId, &ServerInfo)> {
        self.servers.values().map(|listed| (&listed.group, &listed.info))
    }
}
