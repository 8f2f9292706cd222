//! The instances that can hold a share of the limits of a shard of accounts, and those of
//! them that count an account; see [`crate::quota_share`].

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::fleet::InstanceRecord;
use crate::id::AccountId;
use crate::id::FailureDomainId;
use crate::id::InstanceId;
use crate::keeper_lease::ShardNumber;
use crate::placement::stable_hash;

/// Number of share holders of a shard that are no voters. Voters are the largest instances
/// and may all be on one side of a partition.
pub const EXTRA_SHARE_HOLDERS: usize = 8;

/// Returns the share holders of a shard that are no voters: one of each failure domain in
/// turn, so that they are distributed as the instances are and not by capacity.
#[must_use]
pub fn extra_share_holders(
    shard: ShardNumber,
    recorded: &[InstanceRecord],
    voters: &[InstanceRecord],
) -> Vec<InstanceRecord> {
    let number = shard.to_string();
    let score = |name: &str| stable_hash(&["share", &number, name]);
    let mut domains = BTreeMap::<&FailureDomainId, Vec<&InstanceRecord>>::new();
    let is_voter = |record: &InstanceRecord| voters.iter().any(|voter| voter.id == record.id);
    for record in recorded.iter().filter(|record| !is_voter(record)) {
        domains.entry(&record.failure_domain).or_default().push(record);
    }
    let mut domains: Vec<_> = domains.into_iter().collect();
    domains.sort_by_cached_key(|(domain, _)| score(domain));
    let mut queues: VecDeque<_> = domains
        .into_iter()
        .map(|(_, mut records)| {
            records.sort_by_cached_key(|record| (score(&record.id), record.id.clone()));
            VecDeque::from(records)
        })
        .collect();
    let mut chosen = Vec::new();
    while chosen.len() < EXTRA_SHARE_HOLDERS {
        let Some(mut records) = queues.pop_front() else {
            break;
        };
        chosen.extend(records.pop_front().cloned());
        if !records.is_empty() {
            queues.push_back(records);
        }
    }
    chosen
}

/// Whether the share holder `id` counts operations of an account of which only `shares`
/// share holders do. `holders` are all that may hold a share of the account's shard.
#[must_use]
pub fn counts_account(
    id: &InstanceId,
    account: &AccountId,
    holders: &[InstanceRecord],
    shares: u32,
) -> bool {
    let score = |holder: &InstanceId| (stable_hash(&["counts", account, holder]), holder.clone());
    let own = score(id);
    let before = holders.iter().filter(|holder| score(&holder.id) < own).count();
    u32::try_from(before).is_ok_and(|before| before < shares)
}
