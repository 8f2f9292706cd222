//! Every fault that a series can hold.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_standin::fault_proxy::Behaviour;
use chervilwharf_standin::fault_proxy::Flow;
use chervilwharf_standin::platform::store::Mode;

use crate::deployment::Deployment;

/// A fault. Numbers name an instance or a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed; it starts again at the end.
    KillInstance(usize),
    /// All instances are killed; they start again at the end.
    KillAllInstances,
    /// An instance stands still.
    FreezeInstance(usize),
    /// An instance is asked to stop; it starts again at the end.
    StopInstance(usize),
    /// An instance does not reach the store.
    CutFromStore(usize),
    /// Open connections of an instance to the store go silent for good.
    ForgetStoreConnections(usize),
    /// A server ends all connections and takes none.
    CrashServer(usize),
    /// A server is reached by nobody: all bytes vanish.
    SilenceServer(usize),
    /// Nothing that a server says arrives.
    MuteServer(usize),
    /// Each byte to and from a server takes longer.
    DelayServer(usize),
    /// Open connections to a server go silent for good.
    ForgetServerConnections(usize),
    /// A server runs commits and its answers are lost.
    LoseCommitAnswers(usize),
    /// A server runs writes and its answers are lost.
    LoseWriteAnswers(usize),
    /// A server runs commits, and ends the connection instead of an answer.
    BreakCommitAnswers(usize),
    /// A server runs writes, and ends the connection instead of an answer.
    BreakWriteAnswers(usize),
    /// A server refuses statements as too many.
    BusyServer(usize),
    /// A server applies what it receives much later.
    LagServer(usize),
    /// A server says that it leaves, and ends at the end of the fault.
    LeavingServer(usize),
    /// The store refuses all calls.
    StoreDown,
    /// The store answers nothing.
    StoreSilent,
    /// The store does what it is asked to and does not answer.
    StoreLosesAnswers,
    /// The store forgets its history.
    StoreForgets,
    /// The operator writes a configuration with one more database.
    Configuration,
    /// At its end the store comes back from a copy of its beginning.
    StoreComesBack,
    /// The store answers nothing that it receives, nor on connections of before its
    /// return, when the operator writes a configuration.
    StoreSwallows,
    /// Open connections of all instances to the store go silent for good, just before
    /// the operator writes a configuration.
    ForgetAllStoreConnections,
}

/// One-way delay of a slow server.
const DELAY: Duration = Duration::from_millis(80);

/// Lag of a server that is far behind: beyond the age that clients allow.
const FAR_BEHIND: Duration = Duration::from_secs(3);

/// Statements that a busy server refuses.
const REFUSED_AS_BUSY: usize = 200;

impl Fault {
    /// Brings it about.
    pub fn begin(self, deployment: &Arc<Deployment>) {
        let instances = &deployment.instances;
        match self {
            Self::KillInstance(number) => instances[number].kill(),
            Self::KillAllInstances => instances.iter().for_each(crate::deployment::Instance::kill),
            Self::FreezeInstance(number) => instances[number].freeze(),
            Self::StopInstance(number) => deployment.stop(number),
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
            Self::DelayServer(number) => deployment.server(number).set(Behaviour::delayed(DELAY)),
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
            Self::BusyServer(number) => deployment.group.refuse_as_busy(number, REFUSED_AS_BUSY),
            Self::LagServer(number) => deployment.group.set_lag(number, FAR_BEHIND),
            Self::LeavingServer(number) => deployment.begin_leaving(number),
            Self::StoreDown => deployment.store.set_mode(Mode::Down),
            Self::StoreSilent => deployment.store.set_mode(Mode::Silent),
            Self::StoreLosesAnswers => deployment.store.set_mode(Mode::AnswersLost),
            Self::StoreForgets => deployment.store.discard_history(),
            Self::Configuration => deployment.add_database(),
            Self::StoreComesBack => deployment.copy_store(),
            Self::StoreSwallows => deployment.silence_store(),
            Self::ForgetAllStoreConnections => {
                deployment.forget_store_connections();
                deployment.add_measured_database();
            }
        }
    }

    /// Ends it.
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
            Self::LagServer(number) => deployment.set_usual_lag(number),
            Self::LeavingServer(number) => deployment.end_leaving(number).await,
            Self::StoreDown | Self::StoreSilent | Self::StoreLosesAnswers => {
                deployment.store.set_mode(Mode::Up);
            }
            Self::StoreComesBack => deployment.restore_store().await,
            Self::StoreSwallows => {
                deployment.end_silence_of_store();
                deployment.add_measured_database();
            }
            Self::ForgetStoreConnections(_)
            | Self::ForgetServerConnections(_)
            | Self::StoreForgets
            | Self::Configuration
            | Self::ForgetAllStoreConnections => {}
        }
    }

    /// Whether it keeps instances from learning what the platform says.
    #[must_use]
    pub fn hides_the_platform(self) -> bool {
        matches!(
            self,
            Self::KillInstance(_)
                | Self::KillAllInstances
                | Self::FreezeInstance(_)
                | Self::StopInstance(_)
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
