//! The latest era of the platform's store that this instance knows, from answers of the
//! store or messages of other instances.
//!
//! The era counts how often the store was restored from a backup. A restore loses the
//! latest changes and reuses their revision numbers.

use std::fmt::Display;
use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::revision::Era;
use tokio::sync::watch;

use crate::engine::clock::now;
use crate::engine::event_log;

/// An era, and the time at which this instance learned it.
#[derive(Clone, Copy, Debug, Default)]
struct KnownEra {
    era: Era,
    since: Moment,
}

/// The latest known era, which tasks can wait on.
#[derive(Debug, Default)]
pub struct StoreEra {
    latest: watch::Sender<KnownEra>,
}

impl StoreEra {
    /// The latest known era.
    #[must_use]
    pub fn latest(&self) -> Era {
        self.latest.borrow().era
    }

    /// When this instance learned of the latest era.
    #[must_use]
    pub fn known_since(&self) -> Moment {
        self.latest.borrow().since
    }

    /// Whether this instance has known the latest era for at least `time`.
    #[must_use]
    pub fn is_known_for(&self, at: Moment, time: Duration) -> bool {
        self.latest.borrow().since + time <= at
    }

    /// Records an era that `source` reported, and logs it if it is new. Returns whether
    /// it is later than every era reported before.
    pub fn note(&self, era: Era, source: impl Display) -> bool {
        let mut before = 0;
        let later = self.latest.send_if_modified(|latest| {
            before = latest.era;
            if era <= before {
                return false;
            }
            *latest = KnownEra { era, since: now() };
            true
        });
        if later {
            let event = Event::new(EventKind::StoreEra).with("before", before).with("era", era);
            event_log::emit(&event.with("source", source));
        }
        later
    }

    /// Returns when a later era than `era` is known; at once if it is already.
    pub async fn wait_for_later(&self, era: Era) {
        let mut latest = self.latest.subscribe();
        // Fails only after `self` was dropped, which this borrow excludes.
        let _later = latest.wait_for(|latest| latest.era > era).await;
    }
}
