//! Splits a stream of server-sent events into whole events.
//!
//! A server may stop in the middle of an event. Only whole events are passed on, so that a stream
//! can be continued elsewhere after the last of them.

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes with the blank line after it, unchanged.
    pub bytes: Vec<u8>,
    /// Its id, if it has one that is a number.
    pub id: Option<u64>,
}

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Bytes of the rest in which no end has been found.
    scanned: usize,
}

impl EventSplitter {
    /// Takes in bytes and returns the events that they complete.
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

    /// Bytes of an event that has begun and has not ended.
    pub fn rest(&self) -> &[u8] {
        &self.pending
    }

    /// Forgets an event that has begun.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.scanned = 0;
    }
}

/// Where the first event ends: after a blank line.
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
