//! Splits a stream of server-sent events into complete events.
//!
//! A server may stop in the middle of an event. Only complete events are forwarded, so that another
//! server can continue the stream after the last of them.

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event including its terminating blank line, unchanged.
    pub bytes: Vec<u8>,
    /// The event's id, if it is a number.
    pub id: Option<u64>,
}

/// Incremental splitter for events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Number of pending bytes already searched for the end of the event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find_end(&self.pending, self.scanned.saturating_sub(3)) {
            let after = self.pending.split_off(end);
            let bytes = std::mem::replace(&mut self.pending, after);
            self.scanned = 0;
            events.push(StreamEvent { id: event_id(&bytes), bytes });
        }
        self.scanned = self.pending.len();
        events
    }

    /// Bytes of the current, incomplete event.
    pub fn rest(&self) -> &[u8] {
        &self.pending
    }

    /// Discards the current, incomplete event.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.scanned = 0;
    }
}

/// End of the first event: the position after its blank line.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\r\n\r\n") {
            Some(at + 4)
        } else {
            None
        }
    })
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
