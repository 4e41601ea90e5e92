//! Signals of the operating system that stop a daemon or make it reload its settings.

use std::fmt;

use error_stack::{Report, ResultExt};
use nix::sys::signal::{SigSet, Signal as SystemSignal};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::DaemonError;

/// A signal that a daemon handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// The daemon has to stop.
    Stop(StopSource),
    /// The settings have to be read again (SIGHUP).
    Reload,
}

/// The signal that stops a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopSource {
    /// SIGTERM.
    Terminate,
    /// SIGINT.
    Interrupt,
}

impl fmt::Display for ProcessSignal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stop(source) => source.fmt(f),
            Self::Reload => f.write_str("SIGHUP"),
        }
    }
}

impl fmt::Display for StopSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
        })
    }
}

/// Reloads that the kernel keeps pending until [`SignalReceiver::subscribe`].
#[derive(Debug)]
pub struct PendingReloads(SigSet);

impl PendingReloads {
    /// Blocks SIGHUP in this thread and in those that it starts: its default action would end the
    /// process while there is no handler. A stop may take its default action until then, since
    /// nothing listens yet.
    ///
    /// # Errors
    ///
    /// Fails if the kernel rejects the signal mask.
    pub fn block() -> Result<Self, Report<DaemonError>> {
        let reloads = SigSet::from(SystemSignal::SIGHUP);
        reloads.thread_block().change_context(DaemonError::Telemetry("signals"))?;
        Ok(Self(reloads))
    }
}

/// The only subscription of a process to its signals. It is made before the daemon starts and kept
/// until the process ends: a later one would miss the signals that came before it.
#[derive(Debug)]
pub struct SignalReceiver {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl SignalReceiver {
    /// Installs the handlers and then has the kernel deliver a pending reload.
    ///
    /// # Errors
    ///
    /// Fails outside of a runtime, or if the kernel rejects a handler or the signal mask.
    pub fn subscribe(pending: PendingReloads) -> Result<Self, Report<DaemonError>> {
        let failure = || DaemonError::Telemetry("signals");
        let subscribe = |kind| signal(kind).change_context_lazy(failure);
        let receiver = Self {
            terminate: subscribe(SignalKind::terminate())?,
            interrupt: subscribe(SignalKind::interrupt())?,
            hangup: subscribe(SignalKind::hangup())?,
        };
        pending.0.thread_unblock().change_context_lazy(failure)?;
        Ok(receiver)
    }

    /// Waits for the next signal. A stop goes before a reload, whichever came first.
    pub async fn next(&mut self) -> ProcessSignal {
        let Self { terminate, interrupt, hangup } = self;
        tokio::select! {
            biased;
            source = either(terminate, interrupt) => ProcessSignal::Stop(source),
            _ = hangup.recv() => ProcessSignal::Reload,
        }
    }

    /// Waits until the daemon has to stop, and leaves reloads pending.
    pub async fn stopped(&mut self) -> StopSource {
        either(&mut self.terminate, &mut self.interrupt).await
    }
}

async fn either(terminate: &mut Signal, interrupt: &mut Signal) -> StopSource {
    tokio::select! {
        biased;
        _ = terminate.recv() => StopSource::Terminate,
        _ = interrupt.recv() => StopSource::Interrupt,
    }
}
