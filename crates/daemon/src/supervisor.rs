//! Supervises background tasks: a panic is logged and the task is restarted.
//!
//! A request, store fact or datagram that makes a task panic can reach every process. Without a
//! restart, the process would stay alive but no longer receive updates.

use std::{
    any::Any,
    panic::{AssertUnwindSafe, PanicHookInfo},
    time::Duration,
};

use futures_util::FutureExt;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::decisions;

/// Delay before a restart: the cause of the panic may persist, and a restart loop must not consume
/// the whole CPU.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a task and restarts it after a panic, until it returns.
pub fn supervise<F>(part: &'static str, start: impl Fn() -> F + Send + 'static) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        // Unwind safety: shared state is locked for single operations only, and poisoned locks are
        // recovered with the state that the panic left.
        while let Err(panic) = AssertUnwindSafe(start()).catch_unwind().await {
            let fields = json!({ "running": part, "reason": reason(&*panic) });
            decisions::warn("life", "part_begins_again", fields);
            tokio::time::sleep(RESTART_DELAY).await;
        }
    })
}

/// Installs a panic hook that writes every panic to the decision log as well as to standard error.
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
