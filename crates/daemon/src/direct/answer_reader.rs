//! Reads the body of a server's answer and measures its pauses.

use std::sync::Arc;

use bytes::Bytes;
use headlatch_core::direct::answer_silence::SilenceMeter;
use headlatch_http::ResponseBody;
use http_body_util::BodyExt;

use super::state::EntryState;

/// The body of an answer that is being read.
#[derive(Debug)]
pub struct AnswerReader {
    state: Arc<EntryState>,
    body: ResponseBody,
    silence: SilenceMeter,
}

impl AnswerReader {
    /// Reads `body`, with the silences that its server has kept so far.
    pub fn new(state: Arc<EntryState>, body: ResponseBody, silence: SilenceMeter) -> Self {
        Self { state, body, silence }
    }

    /// Waits for the next data; `None` at the end of the body. Dropping the future loses nothing.
    pub async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            let frame = self.body.frame().await;
            self.silence.record(self.state.now());
            match frame? {
                Err(error) => return Some(Err(error)),
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
            }
        }
    }

    /// Silences of the server so far.
    pub fn silence(&self) -> &SilenceMeter {
        &self.silence
    }
}
