//! Several entries in one process, each with a runtime and sockets of its own.

use std::{
    net::{Ipv4Addr, SocketAddr},
    ops::RangeInclusive,
    sync::Arc,
    time::Duration,
};

use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_outside::{facts::FactStore, headers::HeaderFormat, quarantine::QuarantineStore};
use headlatch_types::direct_settings::DirectEntrySettings;
use tokio::runtime::Runtime;

use super::{TestHeaders, TestStore, kept::KeptList, settings};

/// Where notices of all entries are heard.
const CONTROL_PORT: u16 = 7700;

/// An address of this process alone, so that tests beside it cannot be met.
pub fn place(number: u8) -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, high | 0x80, low, number), CONTROL_PORT))
}

/// An entry that can be killed.
pub struct EntryProcess {
    runtime: Runtime,
    /// The entry.
    pub entry: DirectEntry,
}

impl EntryProcess {
    /// Starts the entry of this number, of `count`.
    pub fn start(number: u8, count: u8, store: Arc<TestStore>, kept: Arc<KeptList>) -> Self {
        Self::start_with(number, 1..=count, store, kept, Arc::new(TestHeaders))
    }

    /// Starts the entry of this number, of those of `numbers`, with a header form of its own.
    pub fn start_with(
        number: u8,
        numbers: RangeInclusive<u8>,
        store: Arc<impl FactStore + 'static>,
        kept: Arc<impl QuarantineStore + 'static>,
        headers: Arc<dyn HeaderFormat>,
    ) -> Self {
        let mut own: DirectEntrySettings = settings();
        own.node.control = place(number);
        own.direct.seeds = numbers.filter(|one| *one != number).map(place).collect();
        let runtime = Runtime::new().expect("a runtime");
        let entry =
            runtime.block_on(DirectEntry::start_with_quarantines(own, store, headers, kept));
        Self { runtime, entry: entry.expect("it starts") }
    }

    /// Whether it is ready and knows so many entries.
    pub fn knows(&self, count: usize) -> bool {
        self.entry.state.is_ready() && self.entry.state.entries() == count
    }

    /// Ends it at once.
    pub fn kill(self) {
        // Its ports must be free before another one starts there.
        self.runtime.shutdown_timeout(Duration::from_secs(5));
    }
}

/// Starts entries and waits until they know each other.
pub fn start_all(count: u8, store: &Arc<TestStore>, kept: &Arc<KeptList>) -> Vec<EntryProcess> {
    start_all_with(1..=count, store, kept, &(Arc::new(TestHeaders) as Arc<dyn HeaderFormat>))
}

/// Starts entries of these numbers with a header form of their own and waits until they know each other.
pub fn start_all_with(
    numbers: RangeInclusive<u8>,
    store: &Arc<impl FactStore + 'static>,
    kept: &Arc<impl QuarantineStore + 'static>,
    headers: &Arc<dyn HeaderFormat>,
) -> Vec<EntryProcess> {
    let start = |number| {
        let (store, kept) = (store.clone(), kept.clone());
        EntryProcess::start_with(number, numbers.clone(), store, kept, headers.clone())
    };
    let entries: Vec<EntryProcess> = numbers.clone().map(start).collect();
    while !entries.iter().all(|one| one.knows(numbers.len())) {
        std::thread::sleep(Duration::from_millis(20));
    }
    entries
}
