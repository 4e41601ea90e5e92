//! Memory for the way of an answer from its server to the caller.

use std::sync::Arc;

use headlatch_core::direct::process_limits::ANSWER_WINDOW;
use http::Response;

use super::Exchange;
use crate::direct::{
    answer::AnswerBody,
    body_memory::{MEMORY_FULL, MemoryShare},
    callers::CallerNeed,
};

impl Exchange {
    /// Reserves memory for the answer before a server is asked for it, or returns the cause why there is none.
    pub(super) async fn reserve_window(&mut self) -> Result<(), &'static str> {
        if self.window.is_none() {
            let give_way = || self.state.callers.give_way(CallerNeed::AnswerMemory);
            let size = ANSWER_WINDOW.bytes() as usize;
            let share = self.state.answer_memory.reserve(size, give_way).await;
            self.window = Some(Arc::new(share.ok_or(MEMORY_FULL)?));
        }
        Ok(())
    }
}

/// Has the answer keep its window until its last byte has been written.
pub(super) fn hold_window(
    mut response: Response<AnswerBody>,
    window: Option<Arc<MemoryShare>>,
) -> Response<AnswerBody> {
    if let Some(window) = window {
        response.extensions_mut().insert(window);
    }
    response
}
