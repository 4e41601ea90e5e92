//! Keys of requests that may run once: which have been seen here.

use std::{collections::HashMap, collections::VecDeque, time::Duration};

use crate::time::Moment;

/// How long a spent key is remembered.
pub const KEY_LIFE: Duration = Duration::from_secs(24 * 3600);

/// Most keys remembered; past it new ones are refused rather than old ones forgotten.
pub const MOST_KEYS: usize = 100_000;

/// What a key's request has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyState {
    InProgress,
    Spent,
}

/// Whether a request with a key may run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAnswer {
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
pub struct KeyLedger {
    keys: HashMap<String, KeyState>,
    ages: VecDeque<(Moment, String)>,
}

impl KeyLedger {
    /// Takes a key for a request that is about to run.
    pub fn take(&mut self, now: Moment, key: &str) -> KeyAnswer {
        self.expire(now);
        match self.keys.get(key) {
            Some(KeyState::InProgress) => return KeyAnswer::InProgress,
            Some(KeyState::Spent) => return KeyAnswer::Spent,
            None => {}
        }
        if self.keys.len() >= MOST_KEYS {
            return KeyAnswer::Full;
        }
        self.keys.insert(key.to_owned(), KeyState::InProgress);
        self.ages.push_back((now, key.to_owned()));
        KeyAnswer::Fresh
    }

    /// The request with `key` has ended, or may have run.
    pub fn spend(&mut self, key: &str) {
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
        while let Some((taken, _)) = self.ages.front() {
            if now.since(*taken) < KEY_LIFE {
                return;
            }
            let Some((_, key)) = self.ages.pop_front() else { return };
            if self.keys.get(&key) == Some(&KeyState::Spent) {
                self.keys.remove(&key);
            }
        }
    }
}
