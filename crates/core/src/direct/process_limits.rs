//! Divides the memory and the descriptors of an entry among what callers can make it hold.
//!
//! Three fifths of the memory are for callers: request bodies, answers, and connections. The rest is for the process
//! itself, its tables, and calls to servers, the store and other processes. docs/CAPACITY.md adds it up.

use headlatch_types::quantity::ByteSize;

/// Divisor of the memory that gives the budget of request bodies, of answers, and of connections.
const MEMORY_DIVISOR: u64 = 5;

/// Memory of a connection from a caller beside its request and its answer: its task, its write buffer, and its read
/// buffer, which holds a request head twice while it grows.
const CONNECTION_BYTES: u64 = 12 << 10;

/// Memory of a request in progress beside its body: buffers on the way from a server to the caller.
///
/// A server's connection reads at most [`SERVER_READ_BUFFER`] at a time; one such block is being read, one waits to be
/// forwarded, one is being split into events, and one waits to be written.
pub const ANSWER_WINDOW: ByteSize = ByteSize::from_bytes(160 << 10);

/// Read buffer of a connection to a server.
pub const SERVER_READ_BUFFER: ByteSize = ByteSize::from_bytes(32 << 10);

/// Part of the descriptors that is not for callers and servers, in percent: listeners, log files, the store, and
/// other processes.
const OWN_DESCRIPTORS_PERCENT: usize = 15;

/// Lower bound of that part.
const MIN_OWN_DESCRIPTORS: usize = 64;

/// Parts of the process's own descriptors: one each for the admin, control and metrics listeners, and two for calls to
/// the store and other processes, and for files.
const OWN_LISTENER_PARTS: usize = 5;

/// Parts of the rest: one for callers, one for requests at servers, one for idle connections to servers.
const DESCRIPTOR_PARTS: usize = 3;

/// What callers may make an entry hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// All request bodies together.
    pub request_bodies: ByteSize,
    /// All answers in progress together, streams included.
    pub answers: ByteSize,
    /// Memory of the connections from callers.
    connections: ByteSize,
    /// Largest number of connections from callers that the descriptors allow.
    descriptors: usize,
    /// Largest number of idle connections to servers.
    pub idle_server_connections: usize,
    /// Largest number of connections to each listener that is not for callers.
    pub admin_connections: usize,
}

impl ProcessLimits {
    /// The limits of a process with this much memory and this many descriptors.
    pub fn new(memory: ByteSize, descriptors: usize) -> Self {
        let share = ByteSize::from_bytes(memory.bytes() / MEMORY_DIVISOR);
        let own = (descriptors * OWN_DESCRIPTORS_PERCENT / 100).max(MIN_OWN_DESCRIPTORS);
        let part = (descriptors.saturating_sub(own) / DESCRIPTOR_PARTS).max(1);
        Self {
            request_bodies: share,
            answers: share,
            connections: share,
            descriptors: part,
            idle_server_connections: part,
            admin_connections: own / OWN_LISTENER_PARTS,
        }
    }

    /// Largest number of connections from callers with request heads of at most `head`.
    pub fn caller_connections(&self, head: ByteSize) -> usize {
        let each = CONNECTION_BYTES + 2 * head.bytes();
        let by_memory = usize::try_from(self.connections.bytes() / each).unwrap_or(usize::MAX);
        by_memory.min(self.descriptors).max(1)
    }
}
