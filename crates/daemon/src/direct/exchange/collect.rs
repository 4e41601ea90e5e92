//! Responses that are not streams: read completely before any part is forwarded, unless they are long.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use headlatch_core::{direct::server_table::ServerOutcome, time::Moment};
use headlatch_http::ActiveConnection;
use headlatch_types::RunVerdict;
use http::{Response, header, response::Parts};
use http_body::Body;
use http_body_util::BodyExt;
use serde_json::json;
use tokio::time::timeout_at;

use super::Exchange;
use crate::direct::{
    answer::{AnswerBody, full_body, strip_hop_by_hop_headers},
    answer_reader::AnswerReader,
    attempt::{self, AttemptFailure, InFlight, ServerAnswer, is_failure},
    body_memory::{HeldBody, MemoryShare},
    server_end::ServerLiveness,
};

/// Largest response that is held as a whole, so that the request can be repeated if its server breaks off.
const MAX_HELD_ANSWER: usize = 1 << 20;

/// Part of an answer's window that a response may fill without memory of its own.
const HELD_IN_WINDOW: usize = 64 << 10;

/// A response that has been read as far as it may be held.
pub(super) enum Collected {
    /// The whole response.
    Whole(Response<AnswerBody>),
    /// Its beginning.
    Begun(Box<BegunAnswer>),
}

/// The beginning of a long response, with the rest still to be read from its server.
pub(super) struct BegunAnswer {
    /// Response head.
    pub parts: Parts,
    /// What has been read.
    pub bytes: Bytes,
    /// The rest.
    pub reader: AnswerReader,
    /// Connection of the response, closed on drop.
    pub connection: ActiveConnection,
    /// In-flight count of the request.
    pub in_flight: InFlight,
    /// The body ends with the connection.
    pub close_delimited: bool,
    /// When its head had been received.
    pub begun: Moment,
}

/// How far a response has been read.
enum Reading {
    Whole,
    /// It does not fit into what it may hold.
    Long,
}

/// A response while it is being read.
struct HeldAnswer {
    bytes: BytesMut,
    /// Memory beyond the window.
    share: Option<MemoryShare>,
    /// Size up to which memory has been reserved.
    reserved: usize,
}

impl Exchange {
    /// Reads a response that is not a stream, and turns it into the response for the caller if it can be held as a
    /// whole.
    pub(super) async fn collect(
        &mut self,
        answer: ServerAnswer,
    ) -> Result<Collected, AttemptFailure> {
        let ServerAnswer { response, connection, in_flight, close_delimited, silence, .. } = answer;
        let (server, begun) = (in_flight.server().clone(), self.state.now());
        let (parts, body) = response.into_parts();
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let mut reader = AnswerReader::new(self.state.clone(), body, silence);
        let mut held = HeldAnswer { bytes: BytesMut::new(), share: None, reserved: HELD_IN_WINDOW };
        let reading = timeout_at(self.request.deadline, async {
            match self.reserve_held(&mut held, announced) {
                true => self.read_held(&mut held, &mut reader).await,
                false => Ok(Reading::Long),
            }
        });
        let whole = match reading.await {
            Ok(Ok(Reading::Long)) => {
                let bytes = held.bytes.freeze();
                return Ok(Collected::Begun(Box::new(BegunAnswer {
                    parts,
                    bytes,
                    reader,
                    connection,
                    in_flight,
                    close_delimited,
                    begun,
                })));
            }
            Ok(Ok(Reading::Whole)) if close_delimited => {
                // A server that ends closes its connections as well.
                match self.settle_close(&server, Some(begun), reader.silence()).await {
                    ServerLiveness::Alive => Ok(()),
                    _ => Err("connection closed by a server that has ended".to_owned()),
                }
            }
            Ok(Ok(Reading::Whole)) => Ok(()),
            Ok(Err(error)) => {
                self.handle_connection_break(&server, Some(begun), reader.silence()).await;
                Err(error.to_string())
            }
            Err(_) => Err("response incomplete at the deadline".to_owned()),
        };
        if let Err(detail) = whole {
            in_flight.end(ServerOutcome::Lost);
            return Err(AttemptFailure {
                verdict: RunVerdict::MayHaveRun,
                outcome: ServerOutcome::Lost,
                cause: attempt::ANSWER_CUT,
                detail,
                reached_server: true,
            });
        }
        self.finish_answer(&parts, &in_flight, begun);
        self.state.connections.release(connection);
        let mut response = Response::from_parts(parts, held.into_body());
        strip_hop_by_hop_headers(response.headers_mut());
        response.headers_mut().remove(header::CONTENT_LENGTH);
        Ok(Collected::Whole(response))
    }

    /// Records a response that has been read completely, and its server's outcome.
    pub(super) fn finish_answer(&self, parts: &Parts, in_flight: &InFlight, begun: Moment) {
        let failed = is_failure(parts.status);
        in_flight.end(if failed { ServerOutcome::Failed } else { ServerOutcome::Answered });
        if parts.status.is_success() {
            let (quarantine, now) = (&self.state.quarantine, self.state.now());
            quarantine.record_survival(now, &self.request.identity, begun);
        }
        let fields = json!({ "server": self.tried.last(), "status": parts.status.as_u16() });
        self.finish("answered", self.state.now().since(self.arrived), fields);
    }

    async fn read_held(
        &self,
        held: &mut HeldAnswer,
        reader: &mut AnswerReader,
    ) -> Result<Reading, hyper::Error> {
        while let Some(data) = reader.next().await {
            held.bytes.extend_from_slice(&data?);
            if !self.reserve_held(held, held.bytes.len()) {
                return Ok(Reading::Long);
            }
        }
        Ok(Reading::Whole)
    }

    /// Reserves memory for `size` bytes of a response; returns whether it may be held.
    fn reserve_held(&self, held: &mut HeldAnswer, size: usize) -> bool {
        if size <= held.reserved {
            return true;
        }
        let size = size.max(2 * held.reserved);
        if size > MAX_HELD_ANSWER {
            return false;
        }
        let Some(more) = self.state.answer_memory.try_reserve_spare(size - held.reserved) else {
            return false;
        };
        MemoryShare::merge(&mut held.share, more);
        held.reserved = size;
        true
    }
}

impl HeldAnswer {
    /// The body for the caller, which releases its memory once it has been written.
    fn into_body(self) -> AnswerBody {
        let share = self.share.map(Arc::new);
        let held = HeldBody::new(self.bytes.freeze(), share);
        full_body(Bytes::from_owner(held)).boxed_unsync()
    }
}
