//! A store that keeps which requests are refused.

use std::sync::Mutex;

use headlatch_outside::{
    OutsideFuture,
    facts::{ListExtent, StoreFailure},
    quarantine::{QuarantineEntry, QuarantineList, QuarantineStore},
};
use headlatch_types::request::QuarantineKey;

/// What a store keeps of quarantines.
#[derive(Debug)]
pub struct KeptList {
    kept: Mutex<Vec<QuarantineEntry>>,
    /// Calls that fail before one is taken.
    failures: Mutex<u32>,
    /// Quarantines of a list before it is cut.
    readable: Mutex<usize>,
}

impl Default for KeptList {
    fn default() -> Self {
        let (kept, failures) = (Mutex::default(), Mutex::default());
        Self { kept, failures, readable: Mutex::new(usize::MAX) }
    }
}

impl KeptList {
    /// What it keeps.
    pub fn kept(&self) -> Vec<QuarantineEntry> {
        self.kept.lock().expect("no test panics with it").clone()
    }

    fn listed(&self) -> QuarantineList {
        let mut entries = self.kept();
        let most = *self.readable.lock().expect("no test panics with it");
        let extent = if entries.len() > most { ListExtent::Cut } else { ListExtent::Whole };
        entries.truncate(most);
        QuarantineList { entries, extent, ..QuarantineList::default() }
    }

    /// Sets how many quarantines a list has before it is cut.
    pub fn set_readable(&self, most: usize) {
        *self.readable.lock().expect("no test panics with it") = most;
    }

    /// Has the next `count` calls that change something fail.
    pub fn fail(&self, count: u32) {
        *self.failures.lock().expect("no test panics with it") = count;
    }

    /// Changes what it keeps.
    pub fn change(
        &self,
        change: impl FnOnce(&mut Vec<QuarantineEntry>),
    ) -> std::result::Result<(), StoreFailure> {
        let mut failures = self.failures.lock().expect("no test panics with it");
        if *failures > 0 {
            *failures -= 1;
            return Err(StoreFailure::Unreachable("down".to_owned()));
        }
        change(&mut self.kept.lock().expect("no test panics with it"));
        Ok(())
    }
}

impl QuarantineStore for KeptList {
    fn list_quarantines(
        &self,
    ) -> OutsideFuture<'_, std::result::Result<QuarantineList, StoreFailure>> {
        Box::pin(async { Ok(self.listed()) })
    }

    fn keep(
        &self,
        quarantine: QuarantineEntry,
    ) -> OutsideFuture<'_, std::result::Result<(), StoreFailure>> {
        Box::pin(async move { self.change(|kept| kept.push(quarantine)) })
    }

    fn lift(&self, key: QuarantineKey) -> OutsideFuture<'_, std::result::Result<(), StoreFailure>> {
        Box::pin(async move { self.change(|kept| kept.retain(|one| one.key != key)) })
    }
}
