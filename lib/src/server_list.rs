//! The platform's list of servers. A server that disappears from the list is kept for a
//! short time, because entries can expire while the platform's store is unavailable.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::group::ServerInfo;
use crate::id::GroupId;
use crate::id::TargetId;
use crate::moment::Moment;
use crate::revision::Revision;

/// A server as it was last listed.
#[derive(Clone, Debug)]
struct ListedServer {
    group: GroupId,
    info: ServerInfo,
    /// Since when the server is missing from the list.
    missing_since: Option<Moment>,
    /// Revision of the store by which the entry had changed; `None` until the list is known
    /// to be current up to a later revision than before the change.
    changed_at: Option<Revision>,
}

/// What changed in the list of servers between two revisions of the store. An instance that
/// has the list of `since`, or of any revision after it, has that of `revision` once it
/// applied the changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerChanges {
    /// Revision from which on the changes are complete.
    pub since: Revision,
    /// Revision up to which they are complete.
    pub revision: Revision,
    /// Servers that were added or changed.
    pub present: Vec<(GroupId, ServerInfo)>,
    /// Servers that were removed.
    pub removed: Vec<TargetId>,
}

/// How long a server that is missing from the list is still used. Entries expire while
/// the store is down, and running servers are listed again within two seconds after it
/// is back. The time is far below the limit after which a server that left must get no
/// more requests.
const MISSING_GRACE: Duration = Duration::from_millis(3_500);

/// Number of removed servers that are remembered at least, to tell other instances of them.
const MIN_REMOVALS_KEPT: usize = 64;

/// The listed servers of all groups.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    servers: HashMap<TargetId, ListedServer>,
    /// Revision of the store up to which the list is current.
    revision: Revision,
    /// Revision at which the list last changed. The store's revision counts
    /// changes of everything it keeps.
    changed_at: Revision,
    /// Groups whose servers changed since the last [`ServerList::take_changed`].
    changed: HashSet<GroupId>,
    /// Whether the list changed since the revision was last advanced.
    has_changes: bool,
    /// Added or changed servers whose `changed_at` is not known yet.
    unstamped: HashSet<TargetId>,
    /// Removed servers, oldest first, with the revision by which they were removed; `None` as
    /// for `changed_at`.
    removed: VecDeque<(TargetId, Option<Revision>)>,
    /// Revision since which `removed` is complete.
    removed_since: Revision,
}

impl ServerList {
    /// Revision of the store up to which the list is current.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Revision of the store at which the list last changed.
    #[must_use]
    pub fn changed_at(&self) -> Revision {
        self.changed_at
    }

    /// Records that the list is current up to this revision.
    pub fn advance(&mut self, revision: Revision) {
        let is_later = revision > self.revision;
        self.revision = self.revision.max(revision);
        if std::mem::take(&mut self.has_changes) {
            self.changed_at = self.revision;
        }
        // Others may have the list of the present revision without these changes, so they
        // count as changes of the next one.
        if is_later {
            self.stamp_changes();
        }
    }

    fn stamp_changes(&mut self) {
        let revision = Some(self.revision);
        for id in std::mem::take(&mut self.unstamped) {
            if let Some(listed) = self.servers.get_mut(&id) {
                listed.changed_at = revision;
            }
        }
        for (_, removed_at) in &mut self.removed {
            removed_at.get_or_insert(self.revision);
        }
        self.forget_oldest_removals();
    }

    /// Keeps no more removed servers than listed ones.
    fn forget_oldest_removals(&mut self) {
        let limit = self.servers.len().max(MIN_REMOVALS_KEPT);
        while self.removed.len() > limit {
            if let Some((_, Some(removed_at))) = self.removed.pop_front() {
                self.removed_since = self.removed_since.max(removed_at);
            }
        }
    }

    /// What changed since the revision that another instance has; `None` if it needs the whole
    /// list.
    #[must_use]
    pub fn changes_since(&self, known: Revision) -> Option<ServerChanges> {
        if known.is_unknown() || known.era != self.revision.era || known < self.removed_since {
            return None;
        }
        let is_later = |at: &Option<Revision>| at.is_some_and(|at| at > known);
        let present = self.servers.values().filter(|listed| is_later(&listed.changed_at));
        let removed = self.removed.iter().filter(|(_, removed_at)| is_later(removed_at));
        Some(ServerChanges {
            since: known,
            revision: self.revision,
            present: present.map(|listed| (listed.group.clone(), listed.info.clone())).collect(),
            removed: removed.map(|(id, _)| id.clone()).collect(),
        })
    }

    /// Applies changes that another instance sent, unless the list is already current up to
    /// their revision, or lacks changes before them. Returns whether it applied them.
    pub fn apply_changes(&mut self, now: Moment, changes: &ServerChanges) -> bool {
        let follows = changes.since.era == self.revision.era && changes.since <= self.revision;
        if !follows || changes.revision <= self.revision {
            return false;
        }
        for (group, info) in &changes.present {
            self.upsert(group.clone(), info.clone());
        }
        for id in &changes.removed {
            self.missing(now, id);
        }
        self.advance(changes.revision);
        true
    }

    /// Adds or updates a server that is listed in `group`.
    pub fn upsert(&mut self, group: GroupId, info: ServerInfo) {
        let id = info.id.clone();
        let known = self.servers.get(&id);
        let before = known.map(|known| known.group.clone()).filter(|before| *before != group);
        let unchanged = known.filter(|known| known.info == info && known.group == group);
        let changed_at = unchanged.and_then(|known| known.changed_at);
        if unchanged.is_none() {
            self.mark_changed(&group);
            self.unstamped.insert(id.clone());
            self.removed.retain(|(removed, _)| *removed != id);
        }
        if let Some(before) = before {
            self.mark_changed(&before);
        }
        self.servers.insert(id, ListedServer { group, info, missing_since: None, changed_at });
    }

    fn remove(&mut self, id: &TargetId) {
        if let Some(listed) = self.servers.remove(id) {
            self.mark_changed(&listed.group);
            self.removed.push_back((id.clone(), None));
        }
    }

    fn mark_changed(&mut self, group: &GroupId) {
        self.changed.insert(group.clone());
        self.has_changes = true;
    }

    /// Records that a server is no longer listed. A draining server is dropped at once.
    pub fn missing(&mut self, now: Moment, id: &str) {
        let Some(listed) = self.servers.get_mut(id) else {
            return;
        };
        listed.missing_since.get_or_insert(now);
        if listed.info.draining {
            let id = listed.info.id.clone();
            self.remove(&id);
        }
    }

    /// Replaces the list by the full list of a revision. A list that is older than the
    /// present revision changes nothing.
    pub fn replace(
        &mut self,
        now: Moment,
        revision: Revision,
        mut listed: Vec<(GroupId, ServerInfo)>,
    ) {
        if revision < self.revision {
            return;
        }
        if revision.era > self.revision.era || self.revision.is_unknown() {
            self.removed.clear();
            self.removed_since = revision;
        }
        if revision.era > self.revision.era {
            self.keep_draining(&mut listed);
            // Other instances may have servers that only the lost history listed, so this
            // list counts as changed.
            self.has_changes = true;
        }
        self.replace_all(now, listed);
        self.advance(revision);
    }

    /// Keeps servers draining after the store was restored from a backup, which may hold
    /// their entries from before they began to drain. They get no new work until they
    /// write their entries again.
    fn keep_draining(&self, listed: &mut [(GroupId, ServerInfo)]) {
        for (_, info) in listed {
            let known = self.servers.get(&info.id).map(|known| &known.info);
            info.draining |= known.is_some_and(|known| known.draining && known.start == info.start);
        }
    }

    fn replace_all(&mut self, now: Moment, listed: Vec<(GroupId, ServerInfo)>) {
        let ids: HashSet<_> = listed.iter().map(|(_, info)| info.id.clone()).collect();
        for (group, info) in listed {
            self.upsert(group, info);
        }
        let missing: Vec<_> =
            self.servers.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        for id in missing {
            self.missing(now, &id);
        }
    }

    /// Drops servers that have been missing for `MISSING_GRACE`. Returns whether other
    /// servers are still missing.
    pub fn drop_missing(&mut self, now: Moment) -> bool {
        let is_overdue = |listed: &ListedServer| {
            listed.missing_since.is_some_and(|at| at + MISSING_GRACE <= now)
        };
        let overdue = self.servers.values().filter(|listed| is_overdue(listed));
        let overdue: Vec<_> = overdue.map(|listed| listed.info.id.clone()).collect();
        for id in &overdue {
            self.remove(id);
        }
        self.servers.values().any(|listed| listed.missing_since.is_some())
    }

    /// Takes the groups whose servers changed, each with all its servers. The list of a
    /// group without servers is empty.
    pub fn take_changed(&mut self) -> HashMap<GroupId, Vec<ServerInfo>> {
        let changed = std::mem::take(&mut self.changed);
        let mut groups: HashMap<_, Vec<_>> =
            changed.into_iter().map(|group| (group, Vec::new())).collect();
        for listed in self.servers.values() {
            if let Some(servers) = groups.get_mut(&listed.group) {
                servers.push(listed.info.clone());
            }
        }
        groups
    }

    /// The group and the entry of a server; `None` if it is missing from the list.
    #[must_use]
    pub fn listed(&self, id: &str) -> Option<(GroupId, ServerInfo)> {
        let listed = self.servers.get(id).filter(|listed| listed.missing_since.is_none())?;
        Some((listed.group.clone(), listed.info.clone()))
    }

    /// All servers with their groups, including servers that are missing from the list
    /// and still used.
    pub fn all(&self) -> impl Iterator<Item = (&GroupId, &ServerInfo)> {
        self.servers.values().map(|listed| (&listed.group, &listed.info))
    }
}
