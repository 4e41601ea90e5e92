//! Ways to tell which part of a prompt ends servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use headlatch_core::{
    direct::{suspect_parts::PartTable, suspects::LifeKey},
    time::Moment,
};
use headlatch_types::request::PartKey;

/// A way to tell harmful parts from sound ones, as all entries together apply it.
pub trait PartDetector {
    /// An entry sends a request with these parts.
    fn sent(&mut self, _entry: usize, _parts: &[PartKey]) {}
    /// An entry sees a server end while a request with these parts is in progress.
    fn record_end(&mut self, now: Moment, entry: usize, parts: &[PartKey], life: LifeKey);
    /// An entry sees that a server that began to write on these parts at `begun` lives on.
    fn record_sound(&mut self, now: Moment, entry: usize, parts: &[PartKey], begun: Moment);
    /// Whether an entry refuses requests with a part.
    fn refuses(&self, now: Moment, entry: usize, part: PartKey) -> bool;
    /// Entries exchange notices.
    fn exchange(&mut self, now: Moment);
    /// Time for which a request with these parts is held before it is sent.
    fn hold(&self, _now: Moment, _entry: usize, _parts: &[PartKey]) -> Option<Duration> {
        None
    }
    /// Time to wait before a request is sent again after its server has ended.
    fn retry_pause(&self, _now: Moment, _entry: usize, _parts: &[PartKey]) -> Duration {
        Duration::ZERO
    }
}

/// The ways that can be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DetectorKind {
    /// [`PartTable`] at each entry, joined by notices.
    Table,
    /// Ends since the last sound answer within a minute.
    Count,
    /// Ends against sound answers, ends of one moment counted once.
    Ratio,
    /// Suspects are sent one at a time in each third of the entries.
    Apart,
    /// Parts present at each of the last ends, whatever was sound.
    Intersection,
}

impl DetectorKind {
    /// All of them, with a name for reports.
    pub const ALL: [(Self, &'static str); 5] = [
        (Self::Table, "table"),
        (Self::Count, "count"),
        (Self::Ratio, "ratio"),
        (Self::Apart, "apart"),
        (Self::Intersection, "intersection"),
    ];

    /// Builds the detector for a number of entries.
    pub fn build(self, entries: usize) -> Box<dyn PartDetector> {
        match self {
            Self::Table => Box::new(Tables((0..entries).map(|_| PartTable::default()).collect())),
            kind => Box::new(SharedLog { kind, ..SharedLog::default() }),
        }
    }
}

/// One table at each entry.
struct Tables(Vec<PartTable>);

impl PartDetector for Tables {
    fn record_end(&mut self, now: Moment, entry: usize, parts: &[PartKey], life: LifeKey) {
        let _ = self.0[entry].record_server_end(now, parts, life);
    }

    fn record_sound(&mut self, now: Moment, entry: usize, parts: &[PartKey], begun: Moment) {
        let _ = self.0[entry].record_sound_answer(now, parts, begun);
    }

    fn refuses(&self, now: Moment, entry: usize, part: PartKey) -> bool {
        self.0[entry].is_refused(now, part)
    }

    fn exchange(&mut self, now: Moment) {
        let sent: Vec<_> = self.0.iter().map(|table| table.notices(now)).collect();
        // What several entries say is applied once.
        let mut said = Vec::new();
        for notice in sent.into_iter().flatten() {
            if !said.contains(&notice) {
                said.push(notice);
            }
        }
        for table in &mut self.0 {
            let _ = table.apply(now, &said);
            table.remove_expired(now);
        }
    }

    fn retry_pause(&self, _now: Moment, entry: usize, parts: &[PartKey]) -> Duration {
        let table = &self.0[entry];
        match parts.iter().any(|part| table.is_suspected(*part)) {
            true => Duration::from_millis(150),
            false => Duration::ZERO,
        }
    }
}

#[derive(Debug, Clone)]
enum LogEntry {
    End(Vec<PartKey>, LifeKey),
    Sound(Vec<PartKey>),
}

#[derive(Debug, Clone, Default)]
struct PartCounts {
    lives: BTreeSet<LifeKey>,
    first: Moment,
    last: Moment,
    moments: u32,
    sound: u32,
    last_sound: Option<Moment>,
    in_progress: [u32; 3],
}

/// What all entries know one round of notices later, judged by a plain rule.
struct SharedLog {
    kind: DetectorKind,
    pending: Vec<LogEntry>,
    parts: BTreeMap<PartKey, PartCounts>,
    last_lives: Vec<(LifeKey, BTreeSet<PartKey>)>,
    refused: BTreeSet<PartKey>,
}

impl Default for SharedLog {
    fn default() -> Self {
        Self {
            kind: DetectorKind::Count,
            pending: Vec::new(),
            parts: BTreeMap::new(),
            last_lives: Vec::new(),
            refused: BTreeSet::new(),
        }
    }
}

/// Ends at which these rules refuse a part.
const ENDS: usize = 3;

/// Minimum time between the first and the last of them.
const SPAN: Duration = Duration::from_millis(250);

/// Time for which a sound answer clears a part.
const SOUND_TIME: Duration = Duration::from_secs(60);

impl SharedLog {
    fn add_end(&mut self, now: Moment, parts: &[PartKey], life: LifeKey) {
        match self.last_lives.iter_mut().find(|(known, _)| *known == life) {
            Some((_, present)) => present.extend(parts),
            None => self.last_lives.push((life, parts.iter().copied().collect())),
        }
        if self.last_lives.len() > ENDS {
            self.last_lives.remove(0);
        }
        for part in parts {
            let counts = self.parts.entry(*part).or_default();
            if counts.lives.insert(life) {
                counts.first = if counts.lives.len() == 1 { now } else { counts.first };
                counts.moments += u32::from(counts.moments == 0 || now.since(counts.last) >= SPAN);
                counts.last = now;
            }
        }
    }

    fn add_sound(&mut self, now: Moment, parts: &[PartKey]) {
        for part in parts {
            let counts = self.parts.entry(*part).or_default();
            counts.sound += 1;
            counts.last_sound = Some(now);
            counts.lives.clear();
            if self.kind != DetectorKind::Ratio {
                self.refused.remove(part);
            }
        }
    }

    fn judge(&mut self, now: Moment) {
        for (part, counts) in &self.parts {
            let enough = counts.lives.len() >= ENDS && counts.last.since(counts.first) >= SPAN;
            let recent = counts.last_sound.is_some_and(|at| now.since(at) <= SOUND_TIME);
            let is_harmful = match self.kind {
                DetectorKind::Ratio => counts.moments >= 3 && counts.moments * 2 > counts.sound,
                _ => enough && !recent,
            };
            if is_harmful {
                self.refused.insert(*part);
            }
        }
    }

    fn judge_intersection(&mut self) {
        let Some((_, first)) = self.last_lives.first() else { return };
        if self.last_lives.len() < ENDS {
            return;
        }
        let common = first
            .iter()
            .filter(|part| self.last_lives.iter().all(|(_, present)| present.contains(part)));
        self.refused.extend(common.copied().collect::<Vec<_>>());
    }
}

impl PartDetector for SharedLog {
    fn sent(&mut self, entry: usize, parts: &[PartKey]) {
        if self.kind == DetectorKind::Apart {
            for part in parts {
                self.parts.entry(*part).or_default().in_progress[entry % 3] += 1;
            }
        }
    }

    fn record_end(&mut self, _now: Moment, entry: usize, parts: &[PartKey], life: LifeKey) {
        for part in parts.iter().filter(|_| self.kind == DetectorKind::Apart) {
            let counts = self.parts.entry(*part).or_default();
            counts.in_progress[entry % 3] = counts.in_progress[entry % 3].saturating_sub(1);
        }
        self.pending.push(LogEntry::End(parts.to_vec(), life));
    }

    fn record_sound(&mut self, _now: Moment, entry: usize, parts: &[PartKey], _begun: Moment) {
        for part in parts.iter().filter(|_| self.kind == DetectorKind::Apart) {
            let counts = self.parts.entry(*part).or_default();
            counts.in_progress[entry % 3] = counts.in_progress[entry % 3].saturating_sub(1);
        }
        self.pending.push(LogEntry::Sound(parts.to_vec()));
    }

    fn refuses(&self, _now: Moment, _entry: usize, part: PartKey) -> bool {
        self.refused.contains(&part)
    }

    fn exchange(&mut self, now: Moment) {
        for one in std::mem::take(&mut self.pending) {
            match one {
                LogEntry::End(parts, life) => self.add_end(now, &parts, life),
                LogEntry::Sound(parts) => self.add_sound(now, &parts),
            }
        }
        match self.kind {
            DetectorKind::Intersection => self.judge_intersection(),
            _ => self.judge(now),
        }
    }

    fn hold(&self, now: Moment, entry: usize, parts: &[PartKey]) -> Option<Duration> {
        let is_suspect = |part: &PartKey| {
            let Some(counts) = self.parts.get(part) else { return false };
            let recent = counts.last_sound.is_some_and(|at| now.since(at) <= SOUND_TIME);
            !counts.lives.is_empty() && !recent && counts.in_progress[entry % 3] > 0
        };
        let held = self.kind == DetectorKind::Apart && parts.iter().any(is_suspect);
        held.then_some(Duration::from_millis(50))
    }
}
