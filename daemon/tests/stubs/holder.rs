//! A stub of another instance that holds connections, as far as forwarded statements go.

use std::net::SocketAddr;
use std::sync::Arc;

use chervilwharf_daemon::engine::peers;
use chervilwharf_daemon::engine::peers::ForwardedStatementHandler;
use chervilwharf_daemon::engine::peers::PeerHandler;
use chervilwharf_lib::engine_protos::SignOfLifeReply;
use chervilwharf_lib::engine_protos::Tunnel;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use tokio::net::TcpListener;
use tokio::sync::OwnedSemaphorePermit;

/// An instance that runs forwarded statements in sessions of the test.
pub struct Holder<F> {
    new_session: F,
    shows_life: bool,
}

impl<F, S> Holder<F>
where
    F: Fn() -> S + Send + Sync + 'static,
    S: ForwardedStatementHandler + 'static,
{
    /// An instance that creates a session for each link, and does not answer other requests.
    pub fn new(new_session: F) -> Self {
        Self { new_session, shows_life: false }
    }

    /// The same instance, which also shows signs of life when asked for them.
    pub fn with_signs_of_life(self) -> Self {
        Self { shows_life: true, ..self }
    }

    /// Serves other instances until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        peers::serve(Arc::new(self), listener).await;
    }
}

impl<F, S> PeerHandler for Holder<F>
where
    F: Fn() -> S + Send + Sync + 'static,
    S: ForwardedStatementHandler + 'static,
{
    fn answer(&self, _: Body) -> Option<Body> {
        self.shows_life.then(|| Body::SignOfLifeReply(SignOfLifeReply::default()))
    }

    fn whole_list_permit(&self) -> Option<OwnedSemaphorePermit> {
        None
    }

    fn forwarded_session(self: Arc<Self>) -> Box<dyn ForwardedStatementHandler> {
        Box::new((self.new_session)())
    }

    fn tunnel_target(&self, _: &Tunnel) -> Option<SocketAddr> {
        None
    }
}
