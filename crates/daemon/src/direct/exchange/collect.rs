//! Responses that are not streams: read completely before any part is forwarded.

use headlatch_core::direct::server_table::ServerOutcome;
use headlatch_types::RunVerdict;
use http::{Response, header};
use http_body::Body;
use http_body_util::BodyExt;
use serde_json::json;

use super::Exchange;
use crate::direct::{
    answer::{AnswerBody, BodyError, full_body, strip_hop_by_hop_headers},
    answer_reader::AnswerReader,
    attempt::{self, AttemptFailure, ServerAnswer, is_failure},
    server_end::ServerLiveness,
};

/// Maximum size of a response that is not a stream.
const MAX_ANSWER_BYTES: usize = 16 << 20;

impl Exchange {
    /// Reads a response that is not a stream and turns it into the response for the caller.
    pub(super) async fn collect(
        &mut self,
        answer: ServerAnswer,
    ) -> Result<Response<AnswerBody>, AttemptFailure> {
        let ServerAnswer { response, connection, in_flight, close_delimited, silence, .. } = answer;
        let (server, begun) = (in_flight.server().clone(), self.state.now());
        let (mut parts, body) = response.into_parts();
        // While this waits for memory the body is not read, so that flow control leaves it at the
        // server.
        let announced = body.size_hint().lower().min(MAX_ANSWER_BYTES as u64) as usize;
        let memory = self.state.answer_memory.reserve(announced);
        let mut reader = AnswerReader::new(self.state.clone(), body, silence);
        let collected = async {
            let memory = memory.await;
            Ok::<_, BodyError>((memory, reader.collect(MAX_ANSWER_BYTES).await?))
        };
        let collected = tokio::time::timeout_at(self.request.deadline, collected).await;
        let whole = match collected {
            Ok(Ok((memory, body))) if close_delimited => {
                // A server that ends closes its connections as well.
                match self.settle_close(&server, Some(begun), reader.silence()).await {
                    ServerLiveness::Alive => Ok((memory, body)),
                    _ => Err("connection closed by a server that has ended".to_owned()),
                }
            }
            Ok(Ok((memory, body))) => Ok((memory, body)),
            Ok(Err(error)) => {
                self.handle_connection_break(&server, Some(begun), reader.silence()).await;
                Err(error.to_string())
            }
            Err(_) => Err("response incomplete at the deadline".to_owned()),
        };
        let (memory, body) = match whole {
            Ok(whole) => whole,
            Err(detail) => {
                in_flight.end(ServerOutcome::Lost);
                return Err(AttemptFailure {
                    verdict: RunVerdict::MayHaveRun,
                    outcome: ServerOutcome::Lost,
                    cause: attempt::ANSWER_CUT,
                    detail,
                    reached_server: true,
                });
            }
        };
        let failed = is_failure(parts.status);
        in_flight.end(if failed { ServerOutcome::Failed } else { ServerOutcome::Answered });
        self.state.connections.release(connection);
        strip_hop_by_hop_headers(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        if parts.status.is_success() {
            let (quarantine, now) = (&self.state.quarantine, self.state.now());
            quarantine.record_survival(now, &self.request.identity, begun);
        }
        let fields = json!({ "server": self.tried.last(), "status": parts.status.as_u16() });
        self.finish("answered", self.state.now().since(self.arrived), fields);
        let body = full_body(body).map_frame(move |frame| {
            // Holds the memory until the body has been written to the caller.
            let _ = &memory;
            frame
        });
        Ok(Response::from_parts(parts, body.boxed_unsync()))
    }
}
