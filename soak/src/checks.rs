//! Compares what callers were told with what servers did.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use chervilwharf_standin::platform::servers::Entry;
use chervilwharf_standin::platform::servers::Run;

use crate::history::Cut;
use crate::history::Heard;
use crate::history::History;
use crate::history::Leaving;
use crate::history::Read;
use crate::history::Sighting;
use crate::history::Stop;
use crate::history::Write;

/// From then on a server that leaves may get nothing new. Far below the 7 s
/// that the platform allows, far above what a change of primary takes.
const LEAVING_LIMIT: Duration = Duration::from_secs(2);

/// Where values are in the log, by item and value.
type Places<'a> = HashMap<(&'a str, &'a str), Vec<usize>>;

/// All promises that were broken, a line each.
#[must_use]
pub fn judge(history: &History, log: &[Entry], runs: &[Run]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut places: Places<'_> = HashMap::new();
    for (index, entry) in log.iter().enumerate() {
        places.entry((&entry.item, &entry.data)).or_default().push(index);
    }
    let writes = history.writes.lock().expect("never poisoned");
    for write in writes.iter() {
        judge_write(write, &places, &mut broken);
    }
    for read in history.reads.lock().expect("never poisoned").iter() {
        judge_read(read, &places, &mut broken);
    }
    judge_connections(&writes, runs, &mut broken);
    judge_values(runs, &mut broken);
    judge_sightings(&history.sightings.lock().expect("never poisoned"), &mut broken);
    broken
}

fn judge_write(write: &Write, places: &Places<'_>, broken: &mut Vec<String>) {
    let count = |item: &String| places.get(&(item, write.data.as_str())).map_or(0, Vec::len);
    let counts: Vec<_> = write.items.iter().map(count).collect();
    let Write { data, heard, .. } = write;
    if counts.iter().any(|count| *count > 1) {
        broken.push(format!("ran more than once: {data} {counts:?}, told {heard:?}"));
    }
    if counts.iter().any(|count| *count != counts[0]) {
        broken.push(format!("half of a transaction: {data} {counts:?}, told {heard:?}"));
    }
    match heard {
        Heard::Kept if counts[0] == 0 => broken.push(format!("acknowledged and lost: {data}")),
        Heard::NotKept if counts[0] > 0 => broken.push(format!("told not kept, and kept: {data}")),
        _ => {}
    }
}

fn judge_read(read: &Read, places: &Places<'_>, broken: &mut Vec<String>) {
    let place = |data: &str| places.get(&(read.item.as_str(), data)).map(|found| found[0]);
    let saw = place(&read.saw);
    if saw.is_none() && read.saw != "none" {
        broken.push(format!("read what nobody wrote: {read:?}"));
    }
    // A value that is not there was reported as lost already.
    let must_see = read.must_see.as_deref().and_then(place);
    if must_see.is_some() && saw < must_see {
        broken.push(format!("stale by {}: {read:?}", read.promise));
    }
}

/// Statements of a transaction run on one connection, and inside it.
fn judge_connections(writes: &[Write], runs: &[Run], broken: &mut Vec<String>) {
    let by_id: HashMap<&str, &Run> = runs.iter().map(|run| (run.request.as_str(), run)).collect();
    for write in writes.iter().filter(|write| write.items.len() > 1) {
        let ran: Vec<_> = write.ids.iter().filter_map(|id| by_id.get(id.as_str())).collect();
        let connections: HashSet<_> = ran.iter().map(|run| (run.server, run.connection)).collect();
        if connections.len() > 1 || ran.iter().any(|run| !run.in_transaction) {
            broken.push(format!("a transaction on several connections, or none: {}", write.data));
        }
    }
}

/// Statements run with the values of the session that sent them.
fn judge_values(runs: &[Run], broken: &mut Vec<String>) {
    for run in runs {
        let Some(number) = run.request.strip_prefix('c').and_then(|id| id.split('-').next()) else {
            continue;
        };
        let own = format!("z{number}");
        if run.values.get("zone") != Some(&own) {
            broken.push(format!("with the values of another session: {run:?}"));
        }
    }
}

/// A configuration that was in force at an instance does not go away.
fn judge_sightings(sightings: &[Sighting], broken: &mut Vec<String>) {
    let mut newest: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    for sighting in sightings {
        let known = newest.entry((sighting.instance, sighting.life)).or_default();
        if sighting.known {
            *known = sighting.added.max(*known);
        } else if sighting.added <= *known {
            broken.push(format!("an older configuration came back: {sighting:?}, knew {known}"));
        }
    }
}

/// By then a configuration has to be in force at all instances.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(3);

/// A configuration that the store took after a silence is in force soon.
#[must_use]
pub fn judge_configurations(in_force_after: &[Duration]) -> Vec<String> {
    let late = in_force_after.iter().filter(|after| **after >= CONFIGURATION_LIMIT);
    late.map(|after| format!("a configuration was in force after {after:.2?}")).collect()
}

/// No token is used for two orders of a group: group, server, token of each.
#[must_use]
pub fn judge_promotions(promotions: &[(String, String, u64)]) -> Vec<String> {
    let mut ordered: HashMap<(&str, u64), &str> = HashMap::new();
    let mut broken = Vec::new();
    for (group, server, token) in promotions {
        let before = ordered.insert((group, *token), server);
        if before.is_some_and(|before| before != server) {
            broken.push(format!("two servers of {group} were ordered under token {token}"));
        }
    }
    broken
}

/// A server that leaves gets nothing new. Only for series that neither hide
/// the platform from an instance nor take other servers away.
#[must_use]
pub fn judge_leaving(leaving: &[Leaving], runs: &[Run]) -> Vec<String> {
    let late = |left: &Leaving, run: &Run| {
        let over = left.until.is_some_and(|until| run.at >= until);
        run.server == left.server && run.at > left.since + LEAVING_LIMIT && !over
    };
    let single = runs.iter().filter(|run| !run.in_transaction);
    let found = single.filter(|run| leaving.iter().any(|left| late(left, run)));
    found.map(|run| format!("at a server that leaves: {run:?}")).collect()
}

/// A request that was in progress when its instance was asked to stop is
/// answered. Only for series without a fault that could have cut it.
#[must_use]
pub fn judge_stops(cuts: &[Cut], stops: &[Stop]) -> Vec<String> {
    let in_progress = |cut: &Cut, stop: &Stop| {
        cut.instance == stop.instance && cut.sent_at < stop.at && cut.ended_at > stop.at
    };
    let found = cuts.iter().filter(|cut| stops.iter().any(|stop| in_progress(cut, stop)));
    found.map(|cut| format!("cut off by a planned stop: {cut:?}")).collect()
}
