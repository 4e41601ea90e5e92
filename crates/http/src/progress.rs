//! How fast the peer of a connection reads and writes.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use headlatch_types::quantity::ByteRate;
use tokio::time::Instant;

/// Progress of a peer while this process waits for it. Shared between the connection and whoever judges it.
#[derive(Debug)]
pub struct PeerProgress(Mutex<ProgressState>);

#[derive(Debug)]
struct ProgressState {
    /// The wait for the peer to read, if a write is incomplete.
    unread: Option<PeerWait>,
    /// The wait for the peer to send a request body, if one is being read.
    unsent: Option<PeerWait>,
    phase: PeerPhase,
    /// Whether the peer has had an answer.
    served: bool,
}

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerPhase {
    /// For nothing, since the connection was opened or the last answer written.
    Idle { since: Instant },
    /// A request head is incomplete.
    Head { idle_since: Instant, since: Instant },
    /// A request is being handled, so that arriving bytes belong to its body.
    Request,
}

impl Default for PeerProgress {
    fn default() -> Self {
        let phase = PeerPhase::Idle { since: Instant::now() };
        Self(Mutex::new(ProgressState { unread: None, unsent: None, phase, served: false }))
    }
}

/// A wait for a peer, and the bytes that it took or sent meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerWait {
    /// Start of the wait.
    pub since: Instant,
    /// Bytes since then.
    pub bytes: u64,
}

impl PeerWait {
    fn start(now: Instant) -> Self {
        Self { since: now, bytes: 0 }
    }

    /// Bytes a second at `now`.
    pub fn rate(&self, now: Instant) -> ByteRate {
        let elapsed = now.saturating_duration_since(self.since).max(Duration::from_millis(1));
        ByteRate::from_bytes_per_second((self.bytes as f64 / elapsed.as_secs_f64()) as u64)
    }
}

impl PeerProgress {
    fn lock(&self) -> MutexGuard<'_, ProgressState> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The wait for the peer to read or to send, if there is one.
    pub fn wait(&self) -> Option<PeerWait> {
        let state = self.lock();
        state.unread.or(state.unsent)
    }

    /// The wait for the peer to read, if there is one.
    pub fn unread(&self) -> Option<PeerWait> {
        self.lock().unread
    }

    /// Records that a write could not be completed.
    pub fn record_unread(&self, now: Instant) {
        self.lock().unread.get_or_insert_with(|| PeerWait::start(now));
    }

    /// Records that `written` bytes were taken; `all` if nothing is left to write.
    pub fn record_written(&self, written: usize, all: bool) {
        let mut state = self.lock();
        match (&mut state.unread, all) {
            (unread, true) => *unread = None,
            (Some(wait), false) => wait.bytes += written as u64,
            (None, false) => {}
        }
    }

    /// Records that `received` bytes have arrived.
    pub fn record_received(&self, received: usize) {
        let mut state = self.lock();
        if let Some(wait) = &mut state.unsent {
            wait.bytes += received as u64;
        } else if let PeerPhase::Idle { since: idle_since } = state.phase {
            state.phase = PeerPhase::Head { idle_since, since: Instant::now() };
        }
    }

    /// When the incomplete request head began to arrive.
    pub fn head_since(&self) -> Option<Instant> {
        match self.lock().phase {
            PeerPhase::Head { since, .. } => Some(since),
            PeerPhase::Idle { .. } | PeerPhase::Request => None,
        }
    }

    /// Whether the peer has had an answer, and since when it has had no request in progress; `None` while it has one.
    pub fn idle_since(&self) -> Option<(bool, Instant)> {
        let state = self.lock();
        match state.phase {
            PeerPhase::Idle { since } | PeerPhase::Head { idle_since: since, .. } => {
                Some((state.served, since))
            }
            PeerPhase::Request => None,
        }
    }

    /// Records that a request head is complete.
    pub fn begin_request(&self) {
        self.lock().phase = PeerPhase::Request;
    }

    /// Records that the answer has been written.
    pub fn end_request(&self) {
        let mut state = self.lock();
        state.phase = PeerPhase::Idle { since: Instant::now() };
        state.unsent = None;
        state.served = true;
    }

    /// Records that a request body is awaited.
    pub fn begin_body(&self, now: Instant) {
        self.lock().unsent = Some(PeerWait::start(now));
    }

    /// Records that no request body is awaited any more.
    pub fn end_body(&self) {
        self.lock().unsent = None;
    }
}
