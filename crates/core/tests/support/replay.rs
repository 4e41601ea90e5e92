//! Replays the choice between versions on one box over a day, in virtual time.

use std::{ops::Range, time::Duration};

use headlatch_core::{
    direct::{
        origin_outage::{OriginSigns, OriginWatch},
        transfer_rate::{TransferRate, TransferView},
        version_choice::{VersionChoice, VersionChooser},
        weight_deadline::dispatch_time,
    },
    time::Moment,
};
use headlatch_types::traffic::WeightVersion;

/// Number of pieces of a version.
pub const PIECES: u32 = 96;

/// Time of a piece of 24,576 bytes over the origin's link of 4.38 Mbit/s.
pub const ORIGIN_PIECE_TIME: Duration = Duration::from_micros(44_888);

/// Time of a piece over a box's link of 7.3 Mbit/s.
pub const LINK_PIECE_TIME: Duration = Duration::from_micros(26_932);

/// Time to change weights, from the announcement.
pub const WEIGHTS_TIME: Duration = Duration::from_millis(13_400);

/// Time for the last pieces to spread.
const SPREAD_TIME: Duration = Duration::from_millis(500);

/// Time in which one server changes and does not serve.
const TURN_TIME: Duration = Duration::from_millis(1100);

/// Interval at which an agent decides.
const STEP: Duration = Duration::from_millis(60);

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

/// A day as one box sees it. Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct Day {
    /// Announcements of versions.
    pub announced: Vec<(u64, u64)>,
    /// When the origin does not send.
    pub outage: Range<u64>,
    /// Time from the announcement of a version to its first piece.
    pub begin_delay: u64,
    /// Pieces that the origin sends before the outage and other boxes hold, in addition to those
    /// that this box holds.
    pub known_elsewhere: u32,
}

/// What a box did.
#[derive(Debug, Default)]
pub struct Replay {
    /// Choices with the time of each change, in milliseconds.
    pub choices: Vec<(u64, u64)>,
    /// Versions whose pieces had all arrived and spread, with the time, in milliseconds.
    pub arrived: Vec<(u64, u64)>,
    /// The most pieces held of each skipped or completed version.
    pub held: Vec<(u64, u32)>,
}

impl Replay {
    /// The choice in force at a time.
    pub fn choice_at(&self, millis: u64) -> Option<u64> {
        self.choices.iter().rfind(|(from, _)| *from <= millis).map(|(_, version)| *version)
    }
}

struct BoxState {
    progress: Vec<Progress>,
    watch: OriginWatch,
    rate: TransferRate,
    chooser: VersionChooser,
    chosen: Option<WeightVersion>,
}

/// Progress of one version.
struct Progress {
    version: WeightVersion,
    announced: Moment,
    sent: Duration,
    complete: Option<Moment>,
}

impl Progress {
    fn held(&self) -> u32 {
        let pieces = self.sent.as_micros() / ORIGIN_PIECE_TIME.as_micros();
        (pieces as u32).min(PIECES)
    }
}

impl Day {
    /// Replays the day until `end`, in milliseconds.
    pub fn replay(&self, end: u64) -> Replay {
        let mut replay = Replay::default();
        let mut state = BoxState {
            progress: Vec::new(),
            watch: OriginWatch::default(),
            rate: TransferRate::default(),
            chooser: VersionChooser::default(),
            chosen: None,
        };
        let steps = end / STEP.as_millis() as u64;
        (0..steps).for_each(|step| self.step(&mut state, &mut replay, at(step * 60)));
        replay.held = state.progress.iter().map(|one| (one.version.0, one.held())).collect();
        replay
    }

    fn step(&self, state: &mut BoxState, replay: &mut Replay, now: Moment) {
        let millis = now.since(Moment::ZERO).as_millis() as u64;
        let known = state.progress.len();
        let news = self.announced.iter().skip(known).filter(|(time, _)| *time <= millis);
        state.progress.extend(news.map(|(_, version)| Progress {
            version: WeightVersion(*version),
            announced: now,
            sent: Duration::ZERO,
            complete: None,
        }));
        self.fetch(state, replay, now);
        let loaded = replay.arrived.iter().map(|(_, version)| *version).max().unwrap_or(1);
        let wanted: Vec<VersionChoice> = state
            .progress
            .iter()
            .filter(|one| one.version.0 > loaded)
            .map(|one| self.choice(state, one))
            .collect();
        let chosen = state.chooser.choose(now, &wanted);
        if chosen != state.chosen {
            state.chosen = chosen;
            replay.choices.extend(chosen.map(|version| (millis, version.0)));
        }
    }

    /// Advances the transfer of the chosen version by one step.
    fn fetch(&self, state: &mut BoxState, replay: &mut Replay, now: Moment) {
        let millis = now.since(Moment::ZERO).as_millis() as u64;
        let is_down = self.outage.contains(&millis);
        let chosen = state.chosen;
        let Some(one) = state.progress.iter_mut().find(|one| Some(one.version) == chosen) else {
            state.watch.record(now, None);
            return;
        };
        let begun = now.since(one.announced) >= Duration::from_millis(self.begin_delay);
        if !begun {
            return;
        }
        let in_fleet = one.held() + self.known_elsewhere;
        // Pieces of other boxes arrive over the own link, without the origin.
        let is_elsewhere = is_down && in_fleet >= PIECES;
        if !is_down || is_elsewhere {
            one.sent += STEP;
        }
        if one.held() == PIECES {
            let complete = *one.complete.get_or_insert(now);
            let is_new = replay.arrived.iter().all(|(_, version)| *version != one.version.0);
            if is_new && now.since(complete) >= SPREAD_TIME {
                replay.arrived.push((millis, one.version.0));
            }
        }
        let signs = OriginSigns {
            version: one.version,
            known: (one.held() + self.known_elsewhere).min(PIECES),
            pieces: PIECES,
            reads: 0,
            failures: 0,
            piece_time: ORIGIN_PIECE_TIME,
        };
        if state.watch.record(now, Some(signs)).is_some() {
            state.rate.restart();
        }
        state.rate.record(now, one.version, one.held());
    }

    fn choice(&self, state: &BoxState, one: &Progress) -> VersionChoice {
        let elsewhere = if one.held() == 0 { 0 } else { self.known_elsewhere };
        let view = TransferView {
            version: one.version,
            held: one.held(),
            known: (one.held() + elsewhere).min(PIECES),
            pieces: PIECES,
            origin_piece_time: ORIGIN_PIECE_TIME,
            link_piece_time: LINK_PIECE_TIME,
        };
        VersionChoice {
            version: one.version,
            due: one.announced + dispatch_time(WEIGHTS_TIME),
            transfer: state.rate.estimate(&view, state.watch.state()).total,
        }
    }
}

/// Time without service of a server that changes to each version when it has arrived, until `end`.
/// A server does not serve during its turn, nor with weights older than the newest version that is
/// due. All times in milliseconds.
pub fn idle_time(announced: &[(u64, u64)], arrived: &[(u64, u64)], end: u64) -> u64 {
    let stop = dispatch_time(WEIGHTS_TIME).as_millis() as u64;
    let turn = TURN_TIME.as_millis() as u64;
    let is_idle = |now: &u64| {
        let in_turn = arrived.iter().any(|(here, _)| (*here..here + turn).contains(now));
        let due = announced.iter().filter(|(time, _)| time + stop <= *now);
        let least = due.map(|(_, version)| *version).max().unwrap_or(1);
        let loaded = arrived.iter().filter(|(here, _)| here + turn <= *now);
        let loaded = loaded.map(|(_, version)| *version).max().unwrap_or(1);
        in_turn || loaded < least
    };
    (0..end).filter(is_idle).count() as u64
}
