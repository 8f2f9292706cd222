//! The faults that a schedule can contain, and how each one is started and ended.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_standin::fault_proxy::Behaviour;
use chervilwharf_standin::fault_proxy::Flow;
use chervilwharf_standin::platform::repetition::Cut;
use chervilwharf_standin::platform::repetition::Repetition;
use chervilwharf_standin::platform::store::Mode;

use crate::deployment::Deployment;

/// A fault. The number is the index of the instance or server that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed, and started again when the fault ends.
    KillInstance(usize),
    /// All instances are killed, and started again when the fault ends.
    KillAllInstances,
    /// The process of an instance is suspended.
    FreezeInstance(usize),
    /// An instance receives SIGTERM, and is started again when the fault ends.
    StopInstance(usize),
    /// All instances receive SIGTERM at the same time, and are started again as soon as they
    /// have stopped.
    RestartAllInstances,
    /// Connections between an instance and the store are closed, and new ones refused.
    CutFromStore(usize),
    /// The open connections of an instance to the store become unresponsive for the
    /// rest of the run.
    ForgetStoreConnections(usize),
    /// A server closes all connections and accepts no new ones.
    CrashServer(usize),
    /// All bytes to and from a server are dropped while its connections stay open.
    SilenceServer(usize),
    /// All bytes that a server sends are dropped.
    MuteServer(usize),
    /// All bytes to and from a server are delayed.
    DelayServer(usize),
    /// The open connections to a server become unresponsive for the rest of the run.
    ForgetServerConnections(usize),
    /// A server runs commits, and its answers to them are lost.
    LoseCommitAnswers(usize),
    /// A server runs writes, and its answers to them are lost.
    LoseWriteAnswers(usize),
    /// A server runs commits, and closes the connection instead of answering.
    BreakCommitAnswers(usize),
    /// A server runs writes, and closes the connection instead of answering.
    BreakWriteAnswers(usize),
    /// A server refuses statements as overloaded.
    BusyServer(usize),
    /// A server sends some replies once more.
    RepeatReplies(usize, RepeatedReplies),
    /// A server applies replicated entries with a large delay.
    LagServer(usize),
    /// A server is marked as draining, and restarted when the fault ends.
    LeavingServer(usize),
    /// The store refuses all calls.
    StoreDown,
    /// The store answers no call.
    StoreSilent,
    /// The store executes calls, but its answers are lost.
    StoreLosesAnswers,
    /// The store discards the history of its changes.
    StoreForgets,
    /// A configuration with one more database is written to the store.
    Configuration,
    /// A backup of the store is taken when the fault begins, and restored when it ends.
    StoreComesBack,
    /// All traffic to the store is dropped. When the fault ends, a configuration is
    /// written and only new connections work; those from before stay unresponsive.
    StoreSwallows,
    /// The open connections of all instances to the store become unresponsive for the
    /// rest of the run, just before a configuration is written.
    ForgetAllStoreConnections,
}

/// What a server repeats in [`Fault::RepeatReplies`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatedReplies {
    /// Whole replies, 5 to 80 ms later.
    Whole,
    /// Whole replies, 0.1 to 1.5 s later.
    Late,
    /// Replies that are cut off anywhere, at once to 80 ms later.
    Cut,
    /// One to four replies in a row, the last of which may be cut off, at once to 80 ms later.
    Bursts,
}

/// Probability that a reply is repeated in [`Fault::RepeatReplies`].
const REPEATED_SHARE: f64 = 0.05;

impl RepeatedReplies {
    /// All variants.
    pub const ALL: [Self; 4] = [Self::Whole, Self::Late, Self::Cut, Self::Bursts];

    /// Returns how a server repeats replies.
    #[must_use]
    pub fn repetition(self, seed: u64) -> Repetition {
        let (from_ms, to_ms) = match self {
            Self::Whole => (5, 80),
            Self::Late => (100, 1_500),
            Self::Cut | Self::Bursts => (0, 80),
        };
        let delay = Duration::from_millis(from_ms)..=Duration::from_millis(to_ms);
        let whole = Repetition::new(REPEATED_SHARE, delay, seed);
        match self {
            Self::Whole | Self::Late => whole,
            Self::Cut => whole.with_cut(Cut::Any),
            Self::Bursts => whole.with_cut(Cut::Any).with_replies(1..=4),
        }
    }
}

/// One-way network delay of [`Fault::DelayServer`].
const SERVER_DELAY: Duration = Duration::from_millis(80);

/// Replication delay of [`Fault::LagServer`], longer than the maximum staleness of any
/// route.
const LARGE_LAG: Duration = Duration::from_secs(3);

/// Number of statements that a server refuses in [`Fault::BusyServer`].
const BUSY_REFUSALS: usize = 200;

impl Fault {
    /// Starts the fault.
    pub fn begin(self, deployment: &Arc<Deployment>) {
        let instances = &deployment.instances;
        match self {
            Self::KillInstance(number) => instances[number].kill(),
            Self::KillAllInstances => instances.iter().for_each(crate::deployment::Instance::kill),
            Self::FreezeInstance(number) => instances[number].freeze(),
            Self::StopInstance(number) => deployment.stop(number),
            Self::RestartAllInstances => {
                (0..instances.len()).for_each(|number| deployment.stop(number));
            }
            Self::CutFromStore(number) => instances[number].store_proxy.set(Behaviour::cut()),
            Self::ForgetStoreConnections(number) => {
                instances[number].store_proxy.blackhole_open_connections();
            }
            Self::CrashServer(number) => deployment.group.crash(number),
            Self::SilenceServer(number) => deployment.server(number).set(Behaviour::unresponsive()),
            Self::MuteServer(number) => {
                let mute = Behaviour { down: Flow::Discard, ..Behaviour::default() };
                deployment.server(number).set(mute);
            }
            Self::DelayServer(number) => {
                deployment.server(number).set(Behaviour::delayed(SERVER_DELAY));
            }
            Self::ForgetServerConnections(number) => {
                deployment.server(number).blackhole_open_connections();
            }
            Self::LoseCommitAnswers(number) => {
                deployment.group.lose_answers_of(number, Some("COMMIT"));
            }
            Self::LoseWriteAnswers(number) => {
                deployment.group.lose_answers_of(number, Some("WRITE"));
            }
            Self::BreakCommitAnswers(number) => {
                deployment.group.disconnect_on_answers_of(number, Some("COMMIT"));
            }
            Self::BreakWriteAnswers(number) => {
                deployment.group.disconnect_on_answers_of(number, Some("WRITE"));
            }
            Self::BusyServer(number) => deployment.group.refuse_as_busy(number, BUSY_REFUSALS),
            Self::RepeatReplies(number, repeated) => {
                let repetition = repeated.repetition(number as u64);
                deployment.group.repeat_replies(number, Some(repetition));
            }
            Self::LagServer(number) => deployment.group.set_lag(number, LARGE_LAG),
            Self::LeavingServer(number) => deployment.begin_draining(number),
            Self::StoreDown => deployment.store.set_mode(Mode::Down),
            Self::StoreSilent => deployment.store.set_mode(Mode::Silent),
            Self::StoreLosesAnswers => deployment.store.set_mode(Mode::AnswersLost),
            Self::StoreForgets => deployment.store.discard_history(),
            Self::Configuration => deployment.add_database(),
            Self::StoreComesBack => deployment.back_up_store(),
            Self::StoreSwallows => deployment.make_store_unresponsive(),
            Self::ForgetAllStoreConnections => {
                deployment.forget_store_connections();
                deployment.add_database_and_measure();
            }
        }
    }

    /// Ends the fault.
    pub async fn end(self, deployment: &Arc<Deployment>) {
        let instances = &deployment.instances;
        match self {
            Self::KillInstance(number) => deployment.start(number),
            Self::KillAllInstances => (0..instances.len()).for_each(|n| deployment.start(n)),
            Self::FreezeInstance(number) => instances[number].thaw(),
            Self::StopInstance(number) => {
                instances[number].wait_for_end().await;
                deployment.start(number);
            }
            Self::RestartAllInstances => {
                for (number, instance) in instances.iter().enumerate() {
                    instance.wait_for_end().await;
                    deployment.start(number);
                }
            }
            Self::CutFromStore(number) => instances[number].store_proxy.set(Behaviour::default()),
            Self::CrashServer(number) => deployment.group.restart(number),
            Self::SilenceServer(number) | Self::MuteServer(number) | Self::DelayServer(number) => {
                deployment.server(number).set(Behaviour::default());
            }
            Self::LoseCommitAnswers(number) | Self::LoseWriteAnswers(number) => {
                deployment.group.lose_answers_of(number, None);
            }
            Self::BreakCommitAnswers(number) | Self::BreakWriteAnswers(number) => {
                deployment.group.disconnect_on_answers_of(number, None);
            }
            Self::BusyServer(number) => deployment.group.refuse_as_busy(number, 0),
            Self::RepeatReplies(number, _) => deployment.group.repeat_replies(number, None),
            Self::LagServer(number) => deployment.reset_lag(number),
            Self::LeavingServer(number) => deployment.finish_draining(number).await,
            Self::StoreDown | Self::StoreSilent | Self::StoreLosesAnswers => {
                deployment.store.set_mode(Mode::Up);
            }
            Self::StoreComesBack => deployment.restore_store().await,
            Self::StoreSwallows => {
                deployment.restore_store_network();
                deployment.add_database_and_measure();
            }
            Self::ForgetStoreConnections(_)
            | Self::ForgetServerConnections(_)
            | Self::StoreForgets
            | Self::Configuration
            | Self::ForgetAllStoreConnections => {}
        }
    }

    /// Whether the fault can delay or prevent platform updates from reaching an instance.
    #[must_use]
    pub fn delays_platform_updates(self) -> bool {
        matches!(
            self,
            Self::KillInstance(_)
                | Self::KillAllInstances
                | Self::FreezeInstance(_)
                | Self::StopInstance(_)
                | Self::RestartAllInstances
                | Self::CutFromStore(_)
                | Self::ForgetStoreConnections(_)
                | Self::StoreDown
                | Self::StoreSilent
                | Self::StoreLosesAnswers
                | Self::StoreForgets
                | Self::StoreComesBack
                | Self::StoreSwallows
                | Self::ForgetAllStoreConnections
        )
    }
}
