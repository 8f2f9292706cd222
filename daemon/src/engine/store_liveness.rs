//! Asks the platform's store for signs of life, one question after the other.
//!
//! One question is always under way, so that silence of the store, or of all connections
//! to it, swallows one and is noticed when it stays without an answer. It may be
//! answered with old data, which costs a tenth of other calls.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::silence::STORE_RETRY_INTERVAL;
use chervilwharf_lib::silence::StoreTimeouts;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::engine::directory::Currency;
use crate::engine::directory::Directory;
use crate::engine::directory::DirectoryError;
use crate::engine::directory::LivenessReply;
use crate::engine::directory::RecordKind;
use crate::engine::directory::Revision;
use crate::engine::event_log;
use crate::engine::follow::StoreState;
use crate::engine::shared::Engine;
use crate::engine::store_availability::unanswered;

/// The records that a sign tells changes of: those that have to be known soonest.
const KIND: RecordKind = RecordKind::Configuration;

/// Pause of an instance that needs no signs: it hears from others what matters soon.
const UNNEEDED_PAUSE: Duration = Duration::from_millis(500);

/// A watch has told a change this long after a sign, which may be seconds old, did.
const TOLD_WITHIN: Duration = Duration::from_millis(250);

/// Questions to a silent store that are under way together.
const QUESTIONS_AT_ONCE: usize = 3;

/// Pause between two questions to a store that refuses.
const REFUSED_PAUSE: Duration = Duration::from_millis(600);

/// Asks for signs of life for ever.
pub async fn monitor_store(engine: Arc<Engine>, directory: Arc<dyn Directory>, state: StoreState) {
    let mut signs = Signs { directory, state, limits: engine.store_timeouts(), seen: None };
    loop {
        if signs.state.contact.is_lost() {
            signs.regain().await;
            continue;
        }
        let followed = signs.state.contact.followed(KIND);
        match followed {
            Some(followed) if engine.store_read_currency() == Currency::Fresh => {
                signs.ask(followed).await;
            }
            _ => tokio::time::sleep(UNNEEDED_PAUSE).await,
        }
    }
}

struct Signs {
    directory: Arc<dyn Directory>,
    state: StoreState,
    limits: StoreTimeouts,
    /// The newest change that a sign told.
    seen: Option<Revision>,
}

impl Signs {
    /// Asks once. Without an answer the store is lost.
    async fn ask(&mut self, followed: Revision) {
        let asked_at = Instant::now();
        let after = self.seen.map_or(followed, |seen| seen.max(followed));
        let question = self.directory.check_liveness(KIND, after, self.limits.liveness_wait);
        let answer = tokio::time::timeout(self.limits.detected_after(), question).await;
        match answer.unwrap_or(Err(DirectoryError::Silent)) {
            Ok(sign) => self.take(sign),
            // An answer that is seconds old does not know the revision yet.
            Err(DirectoryError::HistoryGone) => {
                tokio::time::sleep_until(asked_at + self.limits.liveness_wait).await;
            }
            Err(error) => {
                event_log::emit(&unanswered(KIND, "sign", asked_at.elapsed(), error));
                self.state.contact.lose();
            }
        }
    }

    fn take(&mut self, sign: LivenessReply) {
        self.state.era.note(sign.era, "a sign of life");
        let Some(changed_at) = sign.newest_change else {
            return;
        };
        self.seen = Some(changed_at);
        let contact = self.state.contact.clone();
        tokio::spawn(async move {
            tokio::time::sleep(TOLD_WITHIN).await;
            if contact.followed(KIND).is_some_and(|followed| followed < changed_at) {
                contact.renew_calls();
            }
        });
    }

    /// Asks a silent store until it answers. Questions that it swallowed are not waited
    /// for: a new one is sent beside them.
    async fn regain(&self) {
        let after = self.state.contact.followed(KIND).unwrap_or_default();
        let mut questions = FuturesUnordered::new();
        let mut asked_again_at = Instant::now();
        loop {
            tokio::select! {
                Some(answer) = questions.next() => match answer {
                    Ok(_) | Err(DirectoryError::HistoryGone) => break,
                    Err(DirectoryError::Refused(_)) => {
                        asked_again_at = Instant::now() + REFUSED_PAUSE;
                    }
                    Err(_) => {}
                },
                () = tokio::time::sleep_until(asked_again_at),
                    if questions.len() < QUESTIONS_AT_ONCE =>
                {
                    questions.push(self.directory.check_liveness(KIND, after, Duration::ZERO));
                    asked_again_at += STORE_RETRY_INTERVAL;
                }
            }
        }
        self.state.contact.regain();
    }
}
