//! Metrics of replies of servers that are not those of the statements in whose place they
//! arrived.

use std::sync::atomic::Ordering;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::engine::shard::Shard;

/// Labels of the wrong replies of one server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct WrongReplyLabels {
    group: String,
    server: String,
    fault: &'static str,
}

/// Metrics of wrong replies.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplyMetrics {
    wrong_replies: Family<WrongReplyLabels, Counter>,
}

impl ReplyMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "wrong_replies",
            "Replies of a server that are not those of the statements in whose place they arrived",
            self.wrong_replies.clone(),
        );
    }

    /// Sets the values of a shard.
    pub(super) fn update(&self, shard: &Shard) {
        for ((server, fault), count) in shard.wrong_reply_counts() {
            let (group, server) = (shard.id().to_string(), server.to_string());
            let labels = WrongReplyLabels { group, server, fault: fault.name() };
            self.wrong_replies.get_or_create(&labels).inner().store(count, Ordering::Relaxed);
        }
    }
}
