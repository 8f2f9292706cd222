//! Records replies of servers that are not those of the statements in whose place they arrived.

use std::collections::BTreeMap;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::reply_check::ReplyFault;

use crate::engine::event_log;
use crate::engine::shard::Inner;
use crate::engine::shard::Shard;

/// Number of wrong replies by server and fault.
pub type WrongReplyCounts = BTreeMap<(TargetId, ReplyFault), u64>;

impl Inner {
    pub(super) fn record_wrong_reply(
        &mut self,
        server: &TargetId,
        fault: ReplyFault,
        request: Option<&RequestId>,
    ) {
        *self.wrong_replies.entry((server.clone(), fault)).or_default() += 1;
        let event = Event::new(EventKind::WrongReply).with_some("id", request);
        let event = event.with("group", &self.id).with("server", server);
        event_log::emit(&event.with("fault", fault.name()).with("reason", fault));
    }
}

impl Shard {
    /// Records a wrong reply of a server. `request` is the client's statement in whose place it
    /// arrived, if there was one.
    pub fn record_wrong_reply(
        &self,
        server: &TargetId,
        fault: ReplyFault,
        request: Option<&RequestId>,
    ) {
        self.lock().record_wrong_reply(server, fault, request);
    }

    /// The wrong replies of listed servers.
    #[must_use]
    pub fn wrong_reply_counts(&self) -> WrongReplyCounts {
        self.lock().wrong_replies.clone()
    }
}
