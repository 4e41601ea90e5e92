//! From when on requests must not start on older weights.

use std::{collections::HashMap, time::Duration};

use headlatch_types::{id::ModelName, traffic::WeightVersion};

use super::peers::WantedNotice;
use crate::time::Moment;

/// Time before the deadline from which on older weights are sent nothing more: what is sent may wait on
/// a link or at the server before it starts, and that takes as long however much time there is to change.
const START_MARGIN: Duration = Duration::from_millis(1600);

/// Time before the deadline at which servers with older weights stop work.
const WORK_RESERVE: Duration = Duration::from_millis(400);

/// Where there is little time to change, the margin is at most one of this many parts of it.
const MARGIN_DIVISOR: u32 = 4;

/// How long older weights are sent requests after a newer version was wanted, where servers have `time`
/// to change: entries stop then, and agents have their servers changed by then.
pub fn dispatch_time(time: Duration) -> Duration {
    time - START_MARGIN.min(time / MARGIN_DIVISOR)
}

#[derive(Debug, Clone)]
struct Wanted {
    version: WeightVersion,
    learned: Moment,
    /// How long it had been wanted when it was learnt, as others told.
    age: Duration,
}

impl Wanted {
    /// How long it has been wanted.
    fn elapsed(&self, now: Moment) -> Duration {
        now.since(self.learned) + self.age
    }
}

/// A wanted version and how long it has been wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WantedVersion {
    /// The version.
    pub version: WeightVersion,
    /// Time since it was named, as far as this process or others know.
    pub elapsed: Duration,
}

/// Versions of a model that are remembered.
const MAX_VERSIONS: usize = 16;

/// The wanted versions of each model, oldest first, with the moments at which they were learnt.
#[derive(Debug, Default)]
pub struct WeightDeadlines {
    models: HashMap<ModelName, Vec<Wanted>>,
}

impl WeightDeadlines {
    /// Takes in a wanted version. Tells whether it is news.
    pub fn learn(&mut self, now: Moment, model: &ModelName, version: WeightVersion) -> bool {
        self.learn_with_age(now, model, version, Duration::ZERO)
    }

    /// Takes in a wanted version that somebody else has known for `age`, also where it is known
    /// here for less long: a process that has just started must not begin to count anew.
    ///
    /// An older version than those known is taken in as well. What a server holds may be used until the
    /// first newer version is due, not the newest.
    pub fn learn_with_age(
        &mut self,
        now: Moment,
        model: &ModelName,
        version: WeightVersion,
        age: Duration,
    ) -> bool {
        let wanted = self.models.entry(model.clone()).or_default();
        if let Some(known) = wanted.iter_mut().find(|one| one.version == version) {
            let late = age.saturating_sub(known.elapsed(now));
            known.age += late;
            return false;
        }
        let place = wanted.partition_point(|one| one.version < version);
        if place == 0 && wanted.len() == MAX_VERSIONS {
            return false;
        }
        wanted.insert(place, Wanted { version, learned: now, age });
        if wanted.len() > MAX_VERSIONS {
            wanted.remove(0);
        }
        true
    }

    /// What others are told, where servers have `time` to change: the newest version whose time is over
    /// and all that came after it. The newest alone would have a process that has just started count the
    /// end of older weights from it, which is too late.
    pub fn notices(&self, now: Moment, time: Duration) -> Vec<WantedNotice> {
        let told = self.models.iter().flat_map(|(model, wanted)| {
            let over = wanted.iter().rposition(|one| one.elapsed(now) >= time);
            wanted[over.unwrap_or(0)..].iter().map(|one| WantedNotice {
                model: model.clone(),
                version: one.version,
                age: one.elapsed(now),
            })
        });
        told.collect()
    }

    /// The wanted versions of a model, oldest first.
    pub fn versions(&self, now: Moment, model: &ModelName) -> Vec<WantedVersion> {
        let wanted = self.models.get(model).into_iter().flatten();
        wanted
            .map(|one| WantedVersion { version: one.version, elapsed: one.elapsed(now) })
            .collect()
    }

    /// The newest wanted version of a model.
    pub fn newest(&self, model: &ModelName) -> Option<WeightVersion> {
        self.models.get(model)?.last().map(|wanted| wanted.version)
    }

    /// The least version that a request may start on, given the time that servers have to change.
    pub fn min_version(
        &self,
        now: Moment,
        model: &ModelName,
        time: Duration,
    ) -> Option<WeightVersion> {
        let due = dispatch_time(time);
        let wanted = self.models.get(model)?;
        let past = wanted.iter().filter(|one| one.elapsed(now) >= due);
        past.map(|one| one.version).max()
    }

    /// Time for which a server with `version` may work on what it is sent now; none for as long as
    /// no newer version is wanted.
    ///
    /// A server that is cut off may keep a request and run it much later; it stops at the deadline
    /// that it was given.
    pub fn work_time(
        &self,
        now: Moment,
        model: &ModelName,
        version: WeightVersion,
        time: Duration,
    ) -> Option<Duration> {
        let newer = self.models.get(model)?.iter().filter(|one| one.version > version);
        let elapsed = newer.map(|one| one.elapsed(now)).max()?;
        Some(time.saturating_sub(WORK_RESERVE).saturating_sub(elapsed))
    }
}
