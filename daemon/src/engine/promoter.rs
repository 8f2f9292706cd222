//! The border to the platform's call that replaces a primary.

use async_trait::async_trait;
use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::id::TargetId;

/// How the platform answered an order to promote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promoted {
    /// The server will lead, or leads already.
    Accepted,
    /// The token is too low, or the server does not run.
    Refused,
    /// Nothing was done; the platform takes no calls now.
    NotDone,
    /// No answer; it may be done, now or seconds later.
    Unanswered,
}

/// Replaces primaries.
#[async_trait]
pub trait Promoter: Send + Sync {
    /// Orders that `server` takes over the group of `duty`, under its token.
    async fn promote(&self, duty: &DutyRecord, server: &TargetId) -> Promoted;
}
