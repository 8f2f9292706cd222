//! The servers that the platform lists, kept through gaps of its list.

use std::collections::HashMap;
use std::collections::HashSet;
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
    revision: Revision,
    /// Revision at which the list last changed. The store's revision counts
    /// changes of everything it keeps.
    changed_at: Revision,
    /// Groups whose servers changed since they were last taken.
    changed: HashSet<GroupId>,
    /// Whether something changed since the revision was last advanced.
    has_news: bool,
}

impl ServerList {
    /// Revision of the store up to which the list is known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Revision of the store at which the list last changed.
    #[must_use]
    pub fn changed_at(&self) -> Revision {
        self.changed_at
    }

    /// The list is known up to this revision.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
        if std::mem::take(&mut self.has_news) {
            self.changed_at = self.revision;
        }
    }

    /// A server is listed.
    pub fn present(&mut self, group: GroupId, info: ServerInfo) {
        let id = info.id.clone();
        let known = self.servers.get(&id);
        let before = known.map(|known| known.group.clone()).filter(|before| *before != group);
        if known.is_none_or(|known| known.info != info || known.group != group) {
            self.note(&group);
        }
        if let Some(before) = before {
            self.note(&before);
        }
        self.servers.insert(id, ListedServer { group, info, missing_since: None });
    }

    fn note(&mut self, group: &GroupId) {
        self.changed.insert(group.clone());
        self.has_news = true;
    }

    /// A server is not listed any more.
    pub fn missing(&mut self, now: Moment, id: &str) {
        let Some(listed) = self.servers.get_mut(id) else {
            return;
        };
        listed.missing_since.get_or_insert(now);
        if listed.info.draining {
            let group = listed.group.clone();
            self.servers.remove(id);
            self.note(&group);
        }
    }

    /// These are all servers that are listed at a revision. An answer that is older
    /// than what is known changes nothing.
    pub fn replace(
        &mut self,
        now: Moment,
        revision: Revision,
        mut listed: Vec<(GroupId, ServerInfo)>,
    ) {
        if revision < self.revision {
            return;
        }
        if revision.era > self.revision.era {
            self.keep_draining(&mut listed);
            // Others may know servers that only the lost history had.
            self.has_news = true;
        }
        self.replace_all(now, listed);
        self.advance(revision);
    }

    /// A copy of the store can hold servers as they were before they began to drain.
    /// Until they write their entries again they get no new work.
    fn keep_draining(&self, listed: &mut [(GroupId, ServerInfo)]) {
        for (_, info) in listed {
            let known = self.servers.get(&info.id).map(|known| &known.info);
            info.draining |= known.is_some_and(|known| known.draining && known.start == info.start);
        }
    }

    fn replace_all(&mut self, now: Moment, listed: Vec<(GroupId, ServerInfo)>) {
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
        let gone: Vec<_> = self.servers.values().filter(|listed| over(listed)).collect();
        let groups: Vec<_> = gone.into_iter().map(|listed| listed.group.clone()).collect();
        for group in &groups {
            self.note(group);
        }
        self.servers.retain(|_, listed| !over(listed));
        self.servers.values().any(|listed| listed.missing_since.is_some())
    }

    /// Takes the groups whose servers changed, each with all its servers; with
    /// an empty list if it has none left.
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

    /// A server as it was last listed, unless it is missing.
    #[must_use]
    pub fn listed(&self, id: &str) -> Option<(GroupId, ServerInfo)> {
        let listed = self.servers.get(id).filter(|listed| listed.missing_since.is_none())?;
        Some((listed.group.clone(), listed.info.clone()))
    }

    /// All servers with their groups.
    pub fn all(&self) -> impl Iterator<Item = (&GroupId, &ServerInfo)> {
        self.servers.values().map(|listed| (&listed.group, &listed.info))
    }
}
