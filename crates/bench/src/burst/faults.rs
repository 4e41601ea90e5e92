//! Faults of the burst bench, and when and where each strikes.

use std::time::Duration;

use clap::ValueEnum;
use headlatch_core::time::Moment;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

use super::BurstOptions;

/// A fault that a burst may meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Fault {
    /// 5 % of the boxes die, spread over the burst
    Deaths,
    /// 5 % of the boxes join late
    Joiners,
    /// Two boxes' links stand still for a tenth of the burst
    StalledLinks,
    /// Two boxes' links run at a tenth of their rate for a tenth of the burst
    SlowLinks,
    /// 1 % of the chunks arrive corrupt, whoever sent them
    CorruptChunks,
    /// One box corrupts every chunk that it sends
    CorruptPeer,
    /// The origin is down for a tenth of the burst
    OriginDown,
    /// The origin runs at a tenth of its rate for a tenth of the burst
    OriginSlow,
    /// The origin refuses half of all requests
    OriginRefuses,
    /// The store is down throughout
    StoreDown,
    /// One domain is cut off from everything for a fifth of the burst
    Cut,
    /// The platform is down throughout: no change of membership is seen
    PlatformDown,
    /// Changes of membership are seen 30 s late
    Lag,
    /// Two boxes pause in the burst and wake an hour later
    Paused,
    /// A second version, half of its chunks new, replaces the first at a third of the burst
    Superseded,
    /// Half of the boxes receive another model at the same time
    TwoBursts,
    /// An adapter of a sixteenth of the size belongs to the set
    Adapters,
    /// One note in fifty is lost
    Loss,
    /// Deaths, stalled links, corrupt chunks, a corrupt peer, the origin down, lag and loss
    All,
}

impl Fault {
    /// Every fault that stands for itself.
    pub fn each() -> impl Iterator<Item = Self> {
        Self::value_variants().iter().copied().filter(|fault| *fault != Self::All)
    }

    fn parts(self) -> Vec<Self> {
        match self {
            Self::All => vec![
                Self::Deaths,
                Self::StalledLinks,
                Self::CorruptChunks,
                Self::CorruptPeer,
                Self::OriginDown,
                Self::Lag,
                Self::Loss,
            ],
            one => vec![one],
        }
    }
}

/// A span of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Its beginning.
    pub from: Moment,
    /// Its end.
    pub until: Moment,
}

impl Span {
    /// Whether `now` lies in it.
    pub fn covers(&self, now: Moment) -> bool {
        now >= self.from && now < self.until
    }
}

/// When and where faults strike in one run.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    /// Boxes that die, and when.
    pub deaths: Vec<(usize, Moment)>,
    /// Boxes that join late, and when.
    pub joins: Vec<(usize, Moment)>,
    /// Boxes whose link stands still.
    pub stalled: Vec<(usize, Span)>,
    /// Boxes whose link is slow.
    pub slowed: Vec<(usize, Span)>,
    /// Boxes that pause.
    pub paused: Vec<(usize, Span)>,
    /// Part of the chunks that arrive corrupt.
    pub corrupt_part: f64,
    /// The box that corrupts everything.
    pub corrupter: Option<usize>,
    /// When the origin is down.
    pub origin_down: Option<Span>,
    /// When the origin is slow.
    pub origin_slow: Option<Span>,
    /// Part of the requests that the origin refuses.
    pub origin_refuses: f64,
    /// Whether the store is down.
    pub store_down: bool,
    /// The domain that is cut off, and when.
    pub cut: Option<(u32, Span)>,
    /// How late changes of membership are seen; none for never.
    pub lag: Option<Duration>,
    /// When the second version replaces the first.
    pub superseded: Option<Moment>,
    /// Whether half of the boxes receive another model.
    pub two_bursts: bool,
    /// Whether an adapter belongs to the set.
    pub adapters: bool,
    /// Part of the notes that are lost.
    pub loss: f64,
}

/// Membership's usual lag.
const USUAL_LAG: Duration = Duration::from_secs(2);

/// Part of the notes that are lost without any fault.
const USUAL_LOSS: f64 = 0.001;

impl FaultPlan {
    /// The plan for the faults in `options`.
    pub fn new(options: &BurstOptions) -> Self {
        let mut rng = SmallRng::seed_from_u64(options.seed ^ 0xfa17);
        let mut boxes: Vec<usize> = (0..options.boxes as usize).collect();
        boxes.shuffle(&mut rng);
        let mut plan = Self { lag: Some(USUAL_LAG), loss: USUAL_LOSS, ..Self::default() };
        let mut faults: Vec<Fault> =
            options.faults.iter().flat_map(|fault| fault.parts()).collect();
        faults.sort();
        faults.dedup();
        for fault in faults {
            plan.add(fault, options, &mut boxes, &mut rng);
        }
        plan.add_outage(options, &mut boxes);
        plan
    }

    /// The origin goes down at a given time, and some boxes die with it.
    fn add_outage(&mut self, options: &BurstOptions, boxes: &mut Vec<usize>) {
        if options.outage_ms == 0 {
            return;
        }
        let from = Moment::from_micros(options.outage_from_ms * 1000);
        let until = from + Duration::from_millis(options.outage_ms);
        self.origin_down = Some(Span { from, until });
        let dying = (options.boxes * options.outage_deaths_percent / 100) as usize;
        let dying = boxes.split_off(boxes.len().saturating_sub(dying));
        self.deaths.extend(dying.into_iter().map(|one| (one, from)));
    }

    fn add(
        &mut self,
        fault: Fault,
        options: &BurstOptions,
        boxes: &mut Vec<usize>,
        rng: &mut SmallRng,
    ) {
        let burst = options.bound_seconds();
        let at = |part: f64| Moment::ZERO + Duration::from_secs_f64(burst * part);
        let span = |part: f64, length: f64| Span { from: at(part), until: at(part + length) };
        let twentieth = (options.boxes as usize).div_ceil(20);
        let mut take = |count: usize| boxes.split_off(boxes.len().saturating_sub(count));
        match fault {
            Fault::Deaths => {
                let dying = take(twentieth).into_iter();
                self.deaths = dying.map(|one| (one, at(rng.random_range(0.02..0.98)))).collect();
            }
            Fault::Joiners => {
                let late = take(twentieth).into_iter();
                self.joins = late.map(|one| (one, at(rng.random_range(0.2..0.5)))).collect();
            }
            Fault::StalledLinks => {
                let stalled = take(2).into_iter();
                self.stalled =
                    stalled.map(|one| (one, span(rng.random_range(0.1..0.6), 0.1))).collect();
            }
            Fault::SlowLinks => {
                let slowed = take(2).into_iter();
                self.slowed =
                    slowed.map(|one| (one, span(rng.random_range(0.1..0.6), 0.1))).collect();
            }
            Fault::Paused => {
                let pause = Span { from: at(0.3), until: at(0.3) + Duration::from_secs(3600) };
                self.paused = take(2).into_iter().map(|one| (one, pause)).collect();
            }
            Fault::CorruptChunks => self.corrupt_part = 0.01,
            Fault::CorruptPeer => self.corrupter = take(1).first().copied(),
            Fault::OriginDown => self.origin_down = Some(span(0.15, 0.1)),
            Fault::OriginSlow => self.origin_slow = Some(span(0.15, 0.1)),
            Fault::OriginRefuses => self.origin_refuses = 0.5,
            Fault::StoreDown => self.store_down = true,
            Fault::Cut => {
                self.cut = Some((rng.random_range(0..options.domains), span(0.25, 0.2)));
            }
            Fault::PlatformDown => self.lag = None,
            Fault::Lag => self.lag = Some(Duration::from_secs(30)),
            Fault::Superseded => self.superseded = Some(at(1.0 / 3.0)),
            Fault::TwoBursts => self.two_bursts = true,
            Fault::Adapters => self.adapters = true,
            Fault::Loss => self.loss = 0.02,
            Fault::All => {}
        }
    }
}
