//! Exchange of reports on the load of groups between the holders and the instances that
//! send statements to them.
//!
//! A group to which all instances hold connections has no reports: each instance serves
//! its own clients there.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::Heartbeat;
use chervilwharf_lib::group_load::ExpectedWait;
use chervilwharf_lib::group_load::GroupLoad;
use chervilwharf_lib::group_load::LoadReports;
use chervilwharf_lib::group_load::RequestKind;
use chervilwharf_lib::group_load::WaitOutlook;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::wait_estimator::WaitClass;

use crate::engine::records;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;

/// The reports that this instance received.
#[derive(Default)]
pub struct LoadControl(Mutex<LoadReports>);

impl LoadControl {
    /// The reports of all holders.
    pub fn lock(&self) -> MutexGuard<'_, LoadReports> {
        self.0.lock().expect("never poisoned")
    }
}

impl Engine {
    /// The report of this instance on a group; `None` if it holds no connections to the
    /// group, or all instances do.
    #[must_use]
    pub fn load_report(&self, shard: &Shard) -> Option<engine_protos::GroupLoad> {
        let group = shard.id();
        if !self.is_holder(group) || self.is_held_by_all(group) {
            return None;
        }
        Some(encode(&shard.load(), self.me().life))
    }

    /// The reports of this instance on these groups, for a heartbeat.
    #[must_use]
    pub fn load_reports<'a>(
        &self,
        shards: impl IntoIterator<Item = &'a Shard>,
    ) -> Vec<engine_protos::GroupLoad> {
        let report = |shard: &Shard| {
            let group = shard.id().to_string();
            self.load_report(shard).map(|load| engine_protos::GroupLoad { group, ..load })
        };
        shards.into_iter().filter_map(report).collect()
    }

    /// Records the report of a holder on a group, received in the reply to a statement of
    /// `asked_at`.
    pub fn record_load(
        &self,
        group: &GroupId,
        holder: &InstanceId,
        asked_at: Moment,
        report: &engine_protos::GroupLoad,
    ) {
        self.loads().lock().record(group, holder, report.life, asked_at, decode(report));
    }

    /// Records the reports of a heartbeat, or of the reply to a heartbeat of `asked_at`.
    pub fn record_loads(&self, asked_at: Moment, heartbeat: &Heartbeat) {
        let holder: InstanceId = heartbeat.instance.as_str().into();
        for report in &heartbeat.loads {
            self.record_load(&report.group.as_str().into(), &holder, asked_at, report);
        }
    }
}

fn encode(load: &GroupLoad, life: u64) -> engine_protos::GroupLoad {
    let outlook = |outlook: &WaitOutlook| engine_protos::WaitOutlook {
        primary: outlook.kind.class == WaitClass::Leader,
        priority: outlook.kind.priority.into(),
        expected_wait_ms: records::milliseconds(outlook.expected.duration()),
        refuses: outlook.expected.is_refusal(),
    };
    engine_protos::GroupLoad {
        group: String::new(),
        life,
        version: load.version,
        waiting: u32::try_from(load.waiting).unwrap_or(u32::MAX),
        outlooks: load.outlooks.iter().map(outlook).collect(),
    }
}

fn decode(report: &engine_protos::GroupLoad) -> GroupLoad {
    let outlook = |outlook: &engine_protos::WaitOutlook| {
        let class = if outlook.primary { WaitClass::Leader } else { WaitClass::Reader };
        let priority = u8::try_from(outlook.priority).unwrap_or(u8::MAX);
        let wait = Duration::from_millis(outlook.expected_wait_ms);
        let expected =
            if outlook.refuses { ExpectedWait::Refused(wait) } else { ExpectedWait::Served(wait) };
        WaitOutlook { kind: RequestKind { class, priority }, expected }
    };
    GroupLoad {
        version: report.version,
        waiting: usize::try_from(report.waiting).unwrap_or(usize::MAX),
        outlooks: report.outlooks.iter().map(outlook).collect(),
    }
}
