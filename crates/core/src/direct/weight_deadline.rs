//! Deadlines after which requests must not start on older weights.

use std::{collections::HashMap, time::Duration};

use headlatch_types::{id::ModelName, traffic::WeightVersion};

use super::peers::WantedNotice;
use crate::time::Moment;

/// Time before the deadline at which entries stop sending requests to older weights. A request may
/// wait on a link or at the server before it starts, and that delay does not depend on how much
/// time servers have to change.
const START_MARGIN: Duration = Duration::from_millis(1600);

/// Time before the deadline at which servers with older weights stop work.
const WORK_RESERVE: Duration = Duration::from_millis(400);

/// If servers have little time to change, the margin is at most this fraction of it, as a divisor.
const MARGIN_DIVISOR: u32 = 4;

/// How long after a newer version was announced older weights still receive requests, if servers
/// have `time` to change. Entries stop sending then, and agents have their servers changed by then.
pub fn dispatch_time(time: Duration) -> Duration {
    time - START_MARGIN.min(time / MARGIN_DIVISOR)
}

#[derive(Debug, Clone)]
struct Wanted {
    version: WeightVersion,
    learned: Moment,
    /// Age of the announcement when it was learned, as reported by others.
    age: Duration,
}

impl Wanted {
    /// Time since the version was announced.
    fn elapsed(&self, now: Moment) -> Duration {
        now.since(self.learned) + self.age
    }
}

/// A wanted version and the time since it was announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WantedVersion {
    /// The version.
    pub version: WeightVersion,
    /// Time since the announcement, as far as this process or its peers know.
    pub elapsed: Duration,
}

/// Maximum number of versions remembered per model.
const MAX_VERSIONS: usize = 16;

/// The wanted versions of each model, oldest first, with the time each was learned.
#[derive(Debug, Default)]
pub struct WeightDeadlines {
    models: HashMap<ModelName, Vec<Wanted>>,
}

impl WeightDeadlines {
    /// Records a wanted version. Returns whether it is new.
    pub fn learn(&mut self, now: Moment, model: &ModelName, version: WeightVersion) -> bool {
        self.learn_with_age(now, model, version, Duration::ZERO)
    }

    /// Records a wanted version that a peer has known for `age`. The larger age wins even if the
    /// version has been known here for less time, so that a process that has just started does not
    /// restart the countdown.
    ///
    /// A version older than the known ones is recorded as well: the weights that a server holds may
    /// be used until the first newer version is due, not the newest one.
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

    /// Notices for peers, if servers have `time` to change: the newest version whose deadline has
    /// passed and all later ones. Given the newest alone, a process that has just started would
    /// count the deadline of older weights from it, which is too late.
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

    /// The oldest version on which a request may start, if servers have `time` to change.
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

    /// Time for which a server with `version` may work on a request sent now; `None` while no newer
    /// version is wanted.
    ///
    /// A server that is cut off may hold a request and run it much later; it stops at the deadline
    /// it was given.
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
