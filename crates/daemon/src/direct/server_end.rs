//! Distinguishes a server that has ended from one that only closed a connection.
//!
//! A process that accepts connections at the server's address need not be the one that was there before. Where a
//! crash and a new start could have gone unnoticed, the process has to be identified.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use headlatch_core::direct::{answer_silence::SilenceMeter, server_table::ChosenServer};
use headlatch_http::{ActiveConnection, ConnectionChoice};
use headlatch_outside::headers::{ForwardMetadata, ResponseMetadata};
use headlatch_types::traffic::{HealthPath, ServerId};
use http::{HeaderMap, HeaderValue, Method, header};
use http_body_util::{BodyExt, Limited};
use serde_json::json;
use tokio::time::Instant;

use super::state::EntryState;
use crate::decisions;

/// Timeout for the connection attempt to a server that closed a connection: several round trips
/// between regions. The caller's request is retried on another server only after that.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a connection must stay open to show that its server lives: a process that ends may
/// close its connections before it stops listening.
const SETTLE_TIME: Duration = Duration::from_millis(60);

/// Longest wait for the identity of a server: a health check may wait for a slot.
const IDENTIFY_TIMEOUT: Duration = Duration::from_secs(2);

/// The same after a broken connection: meanwhile the request is not retried.
const BREAK_IDENTIFY_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum size of the body of a response that identifies a server.
const MAX_IDENTITY_BYTES: usize = 64 << 10;

/// State of a server that just closed a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerLiveness {
    /// It lives, as far as that had to be checked.
    Alive,
    /// Nothing listens at its address any more.
    Ended,
    /// Another process has its address.
    Replaced,
    /// A process accepts connections at its address that can't be identified.
    Unidentified,
    /// Its machine does not respond: it may be disconnected or suspended.
    Unknown,
}

impl ServerLiveness {
    fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Ended => "ended",
            Self::Replaced => "replaced",
            Self::Unidentified => "unidentified",
            Self::Unknown => "unknown",
        }
    }
}

/// Finds out whether a server lives on that has closed a connection.
#[derive(Debug)]
pub struct LivenessCheck<'a> {
    /// State of the entry.
    pub state: &'a Arc<EntryState>,
    /// The server.
    pub server: &'a ChosenServer,
    /// Path of its health check; `None` if it has none.
    pub health_path: Option<HealthPath>,
    /// Deadline of the caller's request.
    pub deadline: Instant,
}

impl LivenessCheck<'_> {
    /// After a broken connection. A connection that succeeds goes to the pool in place of the broken one.
    /// A process that can't be identified in time counts as the server.
    pub async fn after_break(&self, silence: &SilenceMeter) -> ServerLiveness {
        let liveness = match self.connect_identified(silence, BREAK_IDENTIFY_TIMEOUT).await {
            Ok(connection) => {
                self.state.connections.release(connection);
                ServerLiveness::Alive
            }
            Err(ServerLiveness::Unidentified) => ServerLiveness::Alive,
            Err(liveness) => liveness,
        };
        self.record("break", silence, liveness);
        liveness
    }

    /// After the end of an answer that is whole only if its server lives on. Waits until a server that is
    /// just ending has stopped listening.
    pub async fn after_answer(&self, silence: &SilenceMeter) -> ServerLiveness {
        let liveness = match self.connect_settled(silence).await {
            Ok(connection) => {
                self.state.connections.release(connection);
                ServerLiveness::Alive
            }
            Err(liveness) => liveness,
        };
        self.record("answer_end", silence, liveness);
        liveness
    }

    fn record(&self, after: &str, silence: &SilenceMeter, liveness: ServerLiveness) {
        let is_identified = silence.may_hide_restart();
        self.state.metrics.count_liveness_check(after, is_identified, liveness.as_str());
        if is_identified {
            let fields = json!({
                "server": self.server.id, "after": after, "liveness": liveness.as_str(),
                "silence_ms": silence.longest().as_millis() as u64,
            });
            decisions::info("routing", "server_identified", fields);
        }
    }

    async fn connect_settled(
        &self,
        silence: &SilenceMeter,
    ) -> Result<ActiveConnection, ServerLiveness> {
        let connection = self.connect_identified(silence, IDENTIFY_TIMEOUT).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        match connection.is_closed() {
            true => self.connect_identified(silence, IDENTIFY_TIMEOUT).await,
            false => Ok(connection),
        }
    }

    /// Connects to the server; where another process could have its address, also asks which server it is.
    async fn connect_identified(
        &self,
        silence: &SilenceMeter,
        timeout: Duration,
    ) -> Result<ActiveConnection, ServerLiveness> {
        let mut connection = self.connect().await?;
        if !silence.may_hide_restart() {
            return Ok(connection);
        }
        let until = self.deadline.min(Instant::now() + timeout);
        let asked = tokio::time::timeout_at(until, self.ask_identity(&mut connection)).await;
        match asked.ok().flatten() {
            Some(instance) if instance == self.server.id => Ok(connection),
            Some(_) => Err(ServerLiveness::Replaced),
            None => Err(ServerLiveness::Unidentified),
        }
    }

    async fn connect(&self) -> Result<ActiveConnection, ServerLiveness> {
        let connections = &self.state.connections;
        let opened =
            connections.get(self.server.address, ConnectionChoice::Fresh, PROBE_TIMEOUT).await;
        match opened {
            Ok((connection, _)) => Ok(connection),
            Err(error) if error.refused => Err(ServerLiveness::Ended),
            Err(_) => Err(ServerLiveness::Unknown),
        }
    }

    /// Id of the server behind a connection; `None` if it does not say it.
    async fn ask_identity(&self, connection: &mut ActiveConnection) -> Option<ServerId> {
        // A request for another server is turned away at once, without a slot.
        let nobody = ServerId(format!("none-{:016x}", rand::random::<u64>()).into());
        let answer = self.ask(connection, "/", nobody).await?;
        if answer.misdirected && answer.instance.is_some() {
            return answer.instance;
        }
        let path = self.health_path.as_ref()?;
        let answer = self.ask(connection, path.as_str(), self.server.id.clone()).await?;
        answer.instance
    }

    /// Sends a request for `server`; `None` if the connection broke.
    async fn ask(
        &self,
        connection: &mut ActiveConnection,
        path: &str,
        server: ServerId,
    ) -> Option<ResponseMetadata> {
        let state = self.state;
        let mut headers = HeaderMap::new();
        let host = HeaderValue::from_str(&self.server.address.to_string()).ok()?;
        headers.insert(header::HOST, host);
        let addressed = ForwardMetadata { server: Some(server), ..ForwardMetadata::default() };
        state.headers.write_request(&mut headers, &addressed);
        state.headers.write_id(&mut headers, &format!("identify-{:016x}", rand::random::<u64>()));
        let uri = path.parse().ok()?;
        let answer = connection.send(Method::GET, uri, headers, Bytes::new()).await.ok()?;
        let metadata = state.headers.read_answer(answer.status(), answer.headers());
        Limited::new(answer.into_body(), MAX_IDENTITY_BYTES).collect().await.ok()?;
        Some(metadata)
    }
}
