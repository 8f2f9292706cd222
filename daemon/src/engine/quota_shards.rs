//! For how many shards of accounts an instance is the keeper or holds a share.

use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::quota_share::ShareState;

use crate::engine::quota_control::QuotaControl;

/// Number of shards of accounts by what an instance does for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaShards {
    /// Number of shards that it is the keeper of.
    pub keeper: u32,
    /// Number of shards of which it counts a share, because it does not reach the keeper.
    pub share_counted: u32,
    /// Number of shards of which it holds a share on standby.
    pub share_standby: u32,
}

impl QuotaControl {
    /// Counts the shards that this instance keeps or holds a share of at the time `at`.
    #[must_use]
    pub fn shards(&self, at: Moment) -> QuotaShards {
        let mut counts = QuotaShards::default();
        for shard in &self.lock().shards {
            counts.keeper += u32::from(shard.lease.is_held(at));
            match shard.share.state(at) {
                Some(ShareState::Counted) => counts.share_counted += 1,
                Some(ShareState::Standby) => counts.share_standby += 1,
                None => {}
            }
        }
        counts
    }
}
