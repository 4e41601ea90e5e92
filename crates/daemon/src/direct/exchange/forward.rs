//! Forwards a long response as its server sends it, in a bounded window: a caller who reads slowly holds up the
//! server by flow control, and a response that breaks off is cut off.

use std::time::Duration;

use bytes::Bytes;
use headlatch_core::direct::server_table::ServerOutcome;
use http::Response;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde_json::json;
use tokio::time::{Instant, timeout_at};

use super::{Exchange, collect::BegunAnswer};
use crate::direct::{
    answer::{AnswerBody, BodyError, strip_hop_by_hop_headers},
    attempt,
    server_end::ServerLiveness,
};

/// Pause of a server that is allowed after the request's deadline, while the rest of an answer is on its way to a
/// caller who reads it.
const LATE_PAUSE: Duration = Duration::from_secs(1);

/// Why a response ended before it was whole.
enum Cut {
    /// Its server closed the connection.
    Broken(String),
    /// Its server ended.
    ServerEnded,
    /// Its server sent nothing more until the deadline.
    Deadline,
}

impl Cut {
    fn detail(&self) -> &str {
        match self {
            Self::Broken(detail) => detail,
            Self::ServerEnded => "connection closed by a server that has ended",
            Self::Deadline => "response incomplete at the deadline",
        }
    }
}

/// Response to the caller for a long response that has begun.
pub(super) fn rest(mut exchange: Exchange, mut begun: BegunAnswer) -> Response<AnswerBody> {
    exchange.answer_begun = true;
    // A length that the server announced stays, so that the caller can tell if the rest is missing.
    let mut parts = begun.parts.clone();
    strip_hop_by_hop_headers(&mut parts.headers);
    let frames = async_stream::try_stream! {
        let first = std::mem::take(&mut begun.bytes);
        if !first.is_empty() {
            yield Frame::data(first);
        }
        loop {
            match next(&exchange, &mut begun).await {
                Ok(Some(data)) => yield Frame::data(data),
                Ok(None) => break,
                Err(cut) => {
                    end_cut(&exchange, &begun, &cut).await;
                    Err(BodyError::from(attempt::ANSWER_CUT))?;
                }
            }
        }
        exchange.finish_answer(&begun.parts, &begun.in_flight, begun.begun);
        exchange.state.connections.release(begun.connection);
    };
    Response::from_parts(parts, StreamBody::new(frames).boxed_unsync())
}

/// The next data of the response; `None` once it is whole.
async fn next(exchange: &Exchange, begun: &mut BegunAnswer) -> Result<Option<Bytes>, Cut> {
    let until = exchange.request.deadline.max(Instant::now() + LATE_PAUSE);
    match timeout_at(until, begun.reader.next()).await {
        Err(_) => Err(Cut::Deadline),
        Ok(Some(data)) => data.map(Some).map_err(|error| Cut::Broken(error.to_string())),
        Ok(None) if begun.close_delimited => {
            let (server, silence) = (begun.in_flight.server(), begun.reader.silence());
            match exchange.settle_close(server, Some(begun.begun), silence).await {
                ServerLiveness::Alive => Ok(None),
                _ => Err(Cut::ServerEnded),
            }
        }
        Ok(None) => Ok(None),
    }
}

async fn end_cut(exchange: &Exchange, begun: &BegunAnswer, cut: &Cut) {
    let (server, silence) = (begun.in_flight.server(), begun.reader.silence());
    if let Cut::Broken(_) = cut {
        exchange.handle_connection_break(server, Some(begun.begun), silence).await;
    }
    begun.in_flight.end(ServerOutcome::Lost);
    let fields = json!({ "server": server.id, "detail": cut.detail() });
    exchange.record_cut(attempt::ANSWER_CUT, fields);
}
