//! Servers that end while they have a request: what is recorded, and how the request goes on.

use std::time::Duration;

use headlatch_core::{
    direct::{answer_silence::SilenceMeter, server_table::ChosenServer},
    time::Moment,
};
use headlatch_types::request::PartKey;
use serde_json::json;

use super::Exchange;
use crate::direct::server_end::{LivenessCheck, ServerLiveness};

/// Time that a request whose parts are suspected waits after its server has ended, before it is sent
/// again: one round of notices, after which a verdict on the end is known.
const VERDICT_WAIT: Duration = Duration::from_millis(150);

impl Exchange {
    /// Checks whether a server that broke the connection has ended, and reports an unplanned end to
    /// the quarantine. The server had been writing on the answer since `writing_since`.
    pub async fn handle_connection_break(
        &self,
        server: &ChosenServer,
        writing_since: Option<Moment>,
        silence: &SilenceMeter,
    ) -> ServerLiveness {
        let check = self.liveness_check(server);
        let liveness = check.after_break(silence).await;
        self.record_liveness(server, writing_since, liveness)
    }

    /// As [`Self::handle_connection_break`], after the end of an answer that is whole only if its
    /// server lives on.
    pub async fn settle_close(
        &self,
        server: &ChosenServer,
        writing_since: Option<Moment>,
        silence: &SilenceMeter,
    ) -> ServerLiveness {
        let liveness = self.liveness_check(server).after_answer(silence).await;
        self.record_liveness(server, writing_since, liveness)
    }

    fn liveness_check<'a>(&'a self, server: &'a ChosenServer) -> LivenessCheck<'a> {
        let (state, deadline) = (&self.state, self.request.deadline);
        let routes = state.routes();
        let service =
            routes.as_ref().and_then(|routes| routes.plan().services.get(&*self.request.service));
        let health_path = service.and_then(|service| service.health_path.clone());
        LivenessCheck { state, server, health_path, deadline }
    }

    fn record_liveness(
        &self,
        server: &ChosenServer,
        writing_since: Option<Moment>,
        liveness: ServerLiveness,
    ) -> ServerLiveness {
        if matches!(liveness, ServerLiveness::Ended | ServerLiveness::Replaced) {
            self.record_server_end(server, writing_since);
        }
        liveness
    }

    fn record_server_end(&self, server: &ChosenServer, writing_since: Option<Moment>) {
        let (now, identity) = (self.state.now(), &self.request.identity);
        let planned = self.state.servers().is_planned_shutdown(&server.id);
        let fields = json!({
            "server": server.id, "life": server.life.to_string(), "planned": planned,
            "written_ms": writing_since.map(|since| now.since(since).as_millis() as u64),
            "without_query": identity.digests.without_query.to_string(),
            "shared_parts": self.named_parts(),
        });
        self.log("server_ended", fields);
        if !planned {
            let quarantine = &self.state.quarantine;
            quarantine.record_server_end(now, identity, server.life, writing_since);
        }
    }

    /// Ids of the shared parts of the prompt, with the keys by which they are quarantined.
    fn named_parts(&self) -> Vec<(String, String)> {
        let ids = self.request.facts.shared_parts.ids().into_iter();
        ids.zip(self.request.identity.parts.iter().map(PartKey::to_string)).collect()
    }

    /// Whether a server ended under a part of the request and none has written on it since. Such a
    /// request goes to one server at a time.
    pub fn is_suspected(&self) -> bool {
        self.state.quarantine.suspects_part(&self.request.identity)
    }

    /// After a server has ended under a suspected request, waits until others have told what they saw.
    pub async fn await_verdict(&self) {
        if !self.is_suspected() {
            return;
        }
        let (state, identity) = (&self.state, &self.request.identity);
        let refused = state.quarantine.wait_until_refused(|| state.now(), identity);
        let _ = tokio::time::timeout(VERDICT_WAIT, refused).await;
    }
}
