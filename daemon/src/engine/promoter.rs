//! The interface to the platform's call that promotes a server to primary.

use async_trait::async_trait;
use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::id::TargetId;

/// How the platform answered an order to promote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promoted {
    /// The server will lead, or leads already.
    Accepted,
    /// The platform refused: the token is too low, or the server does not run.
    Refused,
    /// The platform accepts no calls at present, and did nothing.
    NotDone,
    /// No answer arrived. The platform may carry out the order now or seconds later.
    Unanswered,
}

/// Sends promotion orders to the platform.
#[async_trait]
pub trait Promoter: Send + Sync {
    /// Orders the platform to make `server` the primary of the group of `duty`, under the
    /// fencing token of that duty.
    async fn promote(&self, duty: &DutyRecord, server: &TargetId) -> Promoted;
}
