//! The latest era of the platform's store that an instance knows of, from the store
//! itself or from other instances.

use std::fmt::Display;
use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::revision::Era;
use tokio::sync::watch;

use crate::engine::clock::now;
use crate::engine::event_log;

/// An era, and since when it is known.
#[derive(Clone, Copy, Debug, Default)]
struct KnownEra {
    era: Era,
    since: Moment,
}

/// The latest era that is known.
#[derive(Debug, Default)]
pub struct StoreEra {
    latest: watch::Sender<KnownEra>,
}

impl StoreEra {
    /// The latest era.
    #[must_use]
    pub fn latest(&self) -> Era {
        self.latest.borrow().era
    }

    /// Whether the latest era is known for as long as this.
    #[must_use]
    pub fn is_known_for(&self, at: Moment, time: Duration) -> bool {
        self.latest.borrow().since + time <= at
    }

    /// An answer or another instance told of an era. Returns whether it is later than
    /// all before.
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

    /// Returns when a later era than `era` is known.
    pub async fn wait_for_later(&self, era: Era) {
        let mut latest = self.latest.subscribe();
        // Fails only when this is gone, and then nobody waits.
        let _later = latest.wait_for(|latest| latest.era > era).await;
    }
}
