//! Database servers that send replies more than once: which replies are repeated, when, and
//! which part of them.

use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

/// The fault of a server that sends some of its replies once more on the same connection. A
/// repetition is never sent in the middle of another reply.
#[derive(Clone, Debug)]
pub struct Repetition {
    /// Probability, from 0 to 1, that a reply that `of` selects is repeated.
    pub share: f64,
    /// Time from a reply to its repetition.
    pub delay: RangeInclusive<Duration>,
    /// Which part of the reply is repeated. If several replies are, it applies to the last one
    /// and the others are whole.
    pub cut: Cut,
    /// How many of the last replies of the connection are repeated in a row.
    pub replies: RangeInclusive<usize>,
    /// Which replies are repeated.
    pub of: RepliesOf,
    /// Determines the random choices, together with the number of the connection.
    pub seed: u64,
}

impl Repetition {
    /// Single whole replies of all kinds.
    ///
    /// # Panics
    ///
    /// When the share is not from 0 to 1.
    #[must_use]
    pub fn new(share: f64, delay: RangeInclusive<Duration>, seed: u64) -> Self {
        assert!((0.0..=1.0).contains(&share), "{share} is no probability");
        Self { share, delay, cut: Cut::Whole, replies: 1..=1, of: RepliesOf::All, seed }
    }

    /// Repeats only a part of the last reply.
    #[must_use]
    pub fn with_cut(self, cut: Cut) -> Self {
        Self { cut, ..self }
    }

    /// Repeats several replies in a row.
    #[must_use]
    pub fn with_replies(self, replies: RangeInclusive<usize>) -> Self {
        Self { replies, ..self }
    }

    /// Repeats only some kinds of replies.
    #[must_use]
    pub fn with_replies_of(self, of: RepliesOf) -> Self {
        Self { of, ..self }
    }
}

/// The part of a reply that is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// The whole reply.
    Whole,
    /// The rows. Replies without rows are not repeated.
    Rows,
    /// Everything except READY. Replies that consist of READY are not repeated.
    WithoutReady,
    /// Any number of bytes from the beginning, up to the end of a character, so that the next
    /// reply usually follows in the middle of a line.
    AnyByte,
    /// One of the above, chosen for each repetition.
    Any,
}

impl Cut {
    fn apply(self, reply: &str, random: &mut StdRng) -> String {
        let end = match self {
            Self::Whole => reply.len(),
            Self::Rows => start_of_line(reply, |line| !line.starts_with("ROW ")),
            Self::WithoutReady => start_of_line(reply, |line| line.starts_with("READY ")),
            Self::AnyByte => {
                let mut end = random.random_range(1..=reply.len());
                while !reply.is_char_boundary(end) {
                    end += 1;
                }
                end
            }
            Self::Any => {
                let cuts = [Self::Whole, Self::Rows, Self::WithoutReady, Self::AnyByte];
                return cuts[random.random_range(0..cuts.len())].apply(reply, random);
            }
        };
        reply[..end].to_owned()
    }
}

/// Returns the offset in bytes of the first line for which the condition holds.
fn start_of_line(reply: &str, condition: impl Fn(&str) -> bool) -> usize {
    let lines = reply.split_inclusive("\r\n");
    lines.take_while(|line| !condition(line)).map(str::len).sum()
}

/// Kinds of replies that are repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepliesOf {
    /// All replies.
    All,
    /// Replies to statements of clients.
    Clients,
    /// Replies to statements that the proxy issues itself, with the id `-`.
    Proxy,
    /// Replies after which a transaction is open or has failed.
    Transactions,
    /// Replies with an error.
    Errors,
    /// Replies to START.
    Start,
}

impl RepliesOf {
    fn contains(self, reply: &Reply) -> bool {
        match self {
            Self::All => true,
            Self::Clients => reply.request.as_deref().is_some_and(|id| id != "-"),
            Self::Proxy => reply.request.as_deref() == Some("-"),
            Self::Transactions => {
                reply.text.contains("\r\nREADY T ") || reply.text.contains("\r\nREADY E ")
            }
            Self::Errors => reply.text.starts_with("ERROR "),
            Self::Start => reply.request.is_none(),
        }
    }
}

/// A reply that a server sends.
pub(super) struct Reply {
    /// Id of the statement; `None` for START.
    pub request: Option<String>,
    /// All lines of the reply.
    pub text: String,
}

/// The repetitions that are still to be sent on one connection.
pub(super) struct Repeater {
    connection: u64,
    /// Present since the first reply that may be repeated.
    random: Option<StdRng>,
    /// The last replies, oldest first.
    recent: VecDeque<String>,
    due: Vec<(Instant, String)>,
}

impl Repeater {
    pub fn new(connection: u64) -> Self {
        Self { connection, random: None, recent: VecDeque::new(), due: Vec::new() }
    }

    /// Decides whether a reply that was just sent is repeated, and when.
    pub fn record_sent(&mut self, reply: Reply, repetition: &Repetition) {
        let is_selected = repetition.of.contains(&reply);
        self.recent.push_back(reply.text);
        let kept = (*repetition.replies.end()).max(1);
        self.recent.drain(..self.recent.len().saturating_sub(kept));
        let seed = repetition.seed.wrapping_mul(1_000_003).wrapping_add(self.connection);
        let random = self.random.get_or_insert_with(|| StdRng::seed_from_u64(seed));
        if !is_selected || !random.random_bool(repetition.share) {
            return;
        }
        let count = random.random_range(repetition.replies.clone()).min(self.recent.len());
        let mut repeated = self.recent.iter().skip(self.recent.len() - count);
        let Some(last) = repeated.next_back() else {
            return;
        };
        let mut text: String = repeated.map(String::as_str).collect();
        text.push_str(&repetition.cut.apply(last, random));
        if !text.is_empty() {
            let delay = random.random_range(repetition.delay.clone());
            self.due.push((Instant::now() + delay, text));
        }
    }

    /// Waits until a repetition is due and returns its text. Waits forever if there is none. No
    /// repetition is lost if the wait is cancelled.
    pub async fn next_due(&mut self) -> String {
        let next = self.due.iter().enumerate().min_by_key(|(_, (at, _))| *at);
        let Some((index, at)) = next.map(|(index, (at, _))| (index, *at)) else {
            return std::future::pending().await;
        };
        tokio::time::sleep_until(at).await;
        self.due.swap_remove(index).1
    }
}
