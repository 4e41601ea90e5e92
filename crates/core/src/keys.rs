//! Idempotency keys: ensure that a request with a key runs at most once at this endpoint.

use std::{collections::HashMap, collections::VecDeque, time::Duration};

use crate::time::Moment;

/// How long a used key is kept.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Maximum number of keys. Beyond it new keys are rejected, since dropping an old key would allow
/// its request to run twice.
pub const MAX_KEYS: usize = 100_000;

/// State of the request that claimed a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyState {
    InProgress,
    Spent,
}

/// Result of [`IdempotencyKeys::claim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyClaim {
    /// The key is new and now marked as in progress; the request may run.
    Fresh,
    /// A request with the key is in progress.
    InProgress,
    /// A request with the key has run or may have run.
    Spent,
    /// The key store is full.
    Full,
}

/// Keys that this endpoint's agent has seen.
#[derive(Debug, Clone, Default)]
pub struct IdempotencyKeys {
    keys: HashMap<String, KeyState>,
    by_age: VecDeque<(Moment, String)>,
}

impl IdempotencyKeys {
    /// Claims a key for a request that is about to run.
    pub fn claim(&mut self, now: Moment, key: &str) -> KeyClaim {
        self.expire(now);
        match self.keys.get(key) {
            Some(KeyState::InProgress) => return KeyClaim::InProgress,
            Some(KeyState::Spent) => return KeyClaim::Spent,
            None => {}
        }
        if self.keys.len() >= MAX_KEYS {
            return KeyClaim::Full;
        }
        self.keys.insert(key.to_owned(), KeyState::InProgress);
        self.by_age.push_back((now, key.to_owned()));
        KeyClaim::Fresh
    }

    /// Records that the request with `key` has run or may have run.
    pub fn mark_spent(&mut self, key: &str) {
        if let Some(state) = self.keys.get_mut(key) {
            *state = KeyState::Spent;
        }
    }

    /// Releases a key whose request did not run, so that it can be used again.
    pub fn release(&mut self, key: &str) {
        self.keys.remove(key);
    }

    /// Returns the number of stored keys.
    pub fn count(&self) -> usize {
        self.keys.len()
    }

    fn expire(&mut self, now: Moment) {
        while let Some((claimed_at, _)) = self.by_age.front() {
            if now.since(*claimed_at) < KEY_RETENTION {
                return;
            }
            let Some((_, key)) = self.by_age.pop_front() else { return };
            if self.keys.get(&key) == Some(&KeyState::Spent) {
                self.keys.remove(&key);
            }
        }
    }
}
