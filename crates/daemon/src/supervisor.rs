//! Keeps the parts of a process running: what ends one of them by a panic is written down, and the
//! part begins again.
//!
//! A request, a fact of the store or a datagram that makes a part panic may be the same at every
//! process. A part that ended with it would leave the process alive and deaf.

use std::{
    any::Any,
    panic::{AssertUnwindSafe, PanicHookInfo},
    time::Duration,
};

use futures_util::FutureExt;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::decisions;

/// Pause before a part begins again: what made it panic may still be there, and must not take the
/// whole processor.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a part for ever, or until it ends by itself.
pub fn supervise<F>(part: &'static str, start: impl Fn() -> F + Send + 'static) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        // What parts share is locked for single steps, and taken over as a panic has left it.
        while let Err(panic) = AssertUnwindSafe(start()).catch_unwind().await {
            let fields = json!({ "running": part, "reason": reason(&*panic) });
            decisions::warn("life", "part_begins_again", fields);
            tokio::time::sleep(RESTART_DELAY).await;
        }
    })
}

/// Has every panic written into the decision log, beside what goes to standard error.
pub fn log_panics() {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info: &PanicHookInfo<'_>| {
        let location = info.location().map(ToString::to_string);
        let fields = json!({ "reason": reason(info.payload()), "place": location });
        decisions::warn("life", "panicked", fields);
        previous(info);
    }));
}

fn reason(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("no reason")
}
