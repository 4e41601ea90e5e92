//! Keys of requests that may run once: which have been seen here.

use std::{collections::HashMap, collections::VecDeque, time::Duration};

use crate::time::Moment;

/// How long a spent key is remembered.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Most keys remembered; past it new ones are refused rather than old ones forgotten.
pub const MAX_KEYS: usize = 100_000;

/// What a key's request has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyState {
    InProgress,
    Spent,
}

/// Whether a request with a key may run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyClaim {
    /// The key is new; it is now in progress.
    Fresh,
    /// A request with it is in progress.
    InProgress,
    /// A request with it has run, or may have.
    Spent,
    /// Too many keys are remembered to take another.
    Full,
}

/// The keys that this endpoint's agent has seen.
#[derive(Debug, Clone, Default)]
pub struct IdempotencyKeys {
    keys: HashMap<String, KeyState>,
    by_age: VecDeque<(Moment, String)>,
}

impl IdempotencyKeys {
    /// Takes a key for a request that is about to run.
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

    /// The request with `key` has ended, or may have run.
    pub fn mark_spent(&mut self, key: &str) {
        if let Some(state) = self.keys.get_mut(key) {
            *state = KeyState::Spent;
        }
    }

    /// The request with `key` certainly did not run: the key may be used again.
    pub fn release(&mut self, key: &str) {
        self.keys.remove(key);
    }

    /// Keys remembered.
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
