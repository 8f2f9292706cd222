//! Which other instances this one hears, as far as it can tell without asking.
//!
//! The load that this answers: a partition, behind which are most of the
//! instances that hold connections. Found out by each statement on its own, a
//! silent holder cost 300 ms for a new connection and the whole time of the
//! statement on an open one; with 195 instances, of which 71 % were cut off from
//! the others, each instance had some hundred silent holders to find, and
//! forgot them after a second. One statement in five was late or refused,
//! though all but one of the twenty groups had holders and servers within reach.
//!
//! So silence is a property of the instance, not of a statement: whoever finds
//! one instance silent asks all others that it has not heard since for a sign of
//! life before it trusts them with a statement, and a silent one gets no
//! statement until it has given such a sign.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::InstanceId;
use crate::moment::Moment;

/// How long a sign of life may take, connecting included.
///
/// Many times the way there and back twice (6 ms between failure domains), and
/// more than the turns that an instance with an eighth of a core waits for.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(100);

/// A statement without an answer for this long makes its sender ask for a sign
/// of life. Three times the usual statement (18 ms), so that few ask in vain.
pub const LIVENESS_CHECK_AFTER: Duration = Duration::from_millis(60);

/// After an instance was found silent, others have to have given a sign of life
/// for this long: a partition rarely takes one alone. Longer than the time in
/// which all instances in use are asked.
const ALARM: Duration = Duration::from_secs(2);

/// How long a sign of life lasts during an alarm.
const SIGN_LASTS: Duration = Duration::from_secs(1);

/// Time between two questions to a silent instance; what one more that is cut
/// off costs each that wants it.
const ASK_AGAIN: Duration = Duration::from_millis(400);

/// What is known of another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Contact {
    /// Nothing speaks against sending it a statement.
    Heard,
    /// Others are silent, and it has not been heard since: it has to give a
    /// sign of life first.
    Unverified,
    /// It did not answer when it was last asked.
    Silent,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    heard_at: Moment,
    silent: bool,
    asked_at: Moment,
}

/// The contacts of one instance.
#[derive(Clone, Debug, Default)]
pub struct PeerContacts {
    known: HashMap<InstanceId, Known>,
    /// The last alarm, from when on others have to have been heard.
    alarm: Option<(Moment, Moment)>,
}

impl PeerContacts {
    /// An instance answered something that was sent at `asked_at`. Returns
    /// whether it was silent before.
    pub fn heard(&mut self, asked_at: Moment, id: &InstanceId) -> bool {
        let known = self.known.entry(id.clone()).or_default();
        known.heard_at = known.heard_at.max(asked_at);
        std::mem::take(&mut known.silent)
    }

    /// An instance did not answer something that was sent at `asked_at`. Returns
    /// whether that is news.
    pub fn missed(&mut self, now: Moment, asked_at: Moment, id: &InstanceId) -> bool {
        let known = self.known.entry(id.clone()).or_default();
        // Somebody else heard it meanwhile.
        if known.heard_at > asked_at {
            return false;
        }
        known.asked_at = now;
        let news = !std::mem::replace(&mut known.silent, true);
        if news {
            let since = match self.alarm {
                Some((since, until)) if until > now => since,
                _ => asked_at,
            };
            self.alarm = Some((since, now + ALARM));
        }
        news
    }

    /// What is known of an instance.
    #[must_use]
    pub fn contact(&self, now: Moment, id: &InstanceId) -> Contact {
        let known = self.known.get(id).copied().unwrap_or_default();
        if known.silent {
            return Contact::Silent;
        }
        let alarm = self.alarm.filter(|(_, until)| *until > now);
        let Some((since, _)) = alarm else {
            return Contact::Heard;
        };
        if known.heard_at >= since && known.heard_at + SIGN_LASTS > now {
            return Contact::Heard;
        }
        Contact::Unverified
    }

    /// Whether an instance that is not heard should be asked now for a sign of
    /// life. It counts as asked.
    pub fn take_due_liveness_check(&mut self, now: Moment, id: &InstanceId) -> bool {
        if self.contact(now, id) == Contact::Heard {
            return false;
        }
        let known = self.known.entry(id.clone()).or_default();
        let pause = if known.silent { ASK_AGAIN } else { LIVENESS_TIMEOUT };
        let due = known.asked_at + pause <= now;
        if due {
            known.asked_at = now;
        }
        due
    }

    /// Forgets instances that are gone.
    pub fn keep_only(&mut self, exists: impl Fn(&InstanceId) -> bool) {
        self.known.retain(|id, _| exists(id));
    }
}
