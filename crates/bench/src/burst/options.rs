//! Options of the burst bench.

use std::time::Duration;

use clap::Args;
use headlatch_types::{fleet::BurstPreference, settings::LinkDuplex};

use super::{Baseline, Fault};

/// Options of one burst.
#[derive(Debug, Clone, Args)]
pub struct BurstOptions {
    /// Boxes that receive the weights
    #[arg(long, default_value_t = 470)]
    pub boxes: u32,
    /// Failure domains they stand in
    #[arg(long, default_value_t = 6)]
    pub domains: u32,
    /// Regions the domains stand in
    #[arg(long, default_value_t = 3)]
    pub regions: u32,
    /// Size of one copy of the weights, in MiB
    #[arg(long, default_value_t = 512)]
    pub copy_mib: u64,
    /// Size of a chunk, in KiB
    #[arg(long, default_value_t = 1024)]
    pub chunk_kib: u64,
    /// What to spare: time or origin-bytes
    #[arg(long, default_value_t = BurstPreference::Time)]
    pub prefer: BurstPreference,
    /// Whether a box's two ways have a link each or share one: full or shared
    #[arg(long, default_value = "full")]
    pub duplex: LinkDuplex,
    /// Faults, separated by commas
    #[arg(long, value_delimiter = ',', value_enum)]
    pub faults: Vec<Fault>,
    /// Seed of every random choice
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Time in which the origin sends four copies and a box two, in seconds
    #[arg(long, default_value_t = 240)]
    pub window_seconds: u64,
    /// Copies the origin's link carries in the window
    #[arg(long, default_value_t = 4.0)]
    pub origin_copies: f64,
    /// Copies a box's link carries in the window
    #[arg(long, default_value_t = 2.0)]
    pub box_copies: f64,
    /// Copies that the store's link carries in the window; 0 for no store
    #[arg(long, default_value_t = 0.0)]
    pub store_copies: f64,
    /// Copies that the links into one domain carry in the window
    #[arg(long, default_value_t = 8.0)]
    pub domain_copies: f64,
    /// Copies that the links into one region carry in the window
    #[arg(long, default_value_t = 8.0)]
    pub region_copies: f64,
    /// Part of each box's link that serving traffic keeps, in percent
    #[arg(long, default_value_t = 0)]
    pub reserve_percent: u32,
    /// Chunks a box sends at the same time
    #[arg(long)]
    pub uploads: Option<usize>,
    /// Chunks a box receives at the same time
    #[arg(long)]
    pub downloads: Option<usize>,
    /// Chunks a box asks for at the same time
    #[arg(long)]
    pub pipeline: Option<usize>,
    /// Boxes a box keeps informed
    #[arg(long)]
    pub neighbours: Option<usize>,
    /// Requests that may wait at a box
    #[arg(long)]
    pub queue: Option<usize>,
    /// When the origin goes down, in milliseconds
    #[arg(long, default_value_t = 0)]
    pub outage_from_ms: u64,
    /// How long the origin stays down, in milliseconds; 0 for no such outage
    #[arg(long, default_value_t = 0)]
    pub outage_ms: u64,
    /// Part of the boxes that die as the outage begins, in percent
    #[arg(long, default_value_t = 0)]
    pub outage_deaths_percent: u32,
    /// Time without a byte after which a draw from the origin is lost, in milliseconds; 0 for never
    #[arg(long, default_value_t = 0)]
    pub draw_silence_ms: u64,
    /// Draw chunks as they are assigned, at the pace of bursts that last a few seconds
    #[arg(long)]
    pub short: bool,
    /// Run a naive scheme instead: direct or tree
    #[arg(long, value_enum)]
    pub baseline: Option<Baseline>,
    /// Write how far the boxes are, five times a second of virtual time, to standard error
    #[arg(long)]
    pub timeline: bool,
    /// Print one line of JSON
    #[arg(long)]
    pub json: bool,
}

impl BurstOptions {
    /// Chunks in one copy.
    pub fn chunks(&self) -> u32 {
        (self.copy_mib * 1024).div_ceil(self.chunk_kib).max(1) as u32
    }

    /// Bytes in a chunk.
    pub fn chunk_bytes(&self) -> u64 {
        self.chunk_kib * 1024
    }

    /// Time a chunk takes over a link that carries `copies` copies in the window.
    pub fn chunk_time(&self, copies: f64) -> Duration {
        let copy_seconds = self.window_seconds as f64 / copies;
        Duration::from_secs_f64(copy_seconds / f64::from(self.chunks()))
    }

    /// Copies a box's link carries in the window, less the reserve.
    pub fn usable_box_copies(&self) -> f64 {
        self.box_copies * f64::from(100 - self.reserve_percent.min(99)) / 100.0
    }

    /// Shortest time in which every box can have a copy, in seconds.
    ///
    /// In `full` it is the largest of copy / box link, copy / origin link, and N copies over the
    /// rates of the origin and all uploads; in `shared` a box's link carries what it takes in as
    /// well as what it gives, so that 2 N copies, less what the origin sends, share N links.
    pub fn bound_seconds(&self) -> f64 {
        let window = self.window_seconds as f64;
        let boxes = f64::from(self.boxes);
        let own = self.usable_box_copies() / window;
        let outside = (self.origin_copies + self.store_copies) / window;
        let flow = match self.duplex {
            LinkDuplex::Full => boxes / (outside + boxes * own),
            LinkDuplex::Shared => 2.0 * boxes / (boxes * own + outside),
        };
        flow.max(1.0 / own).max(1.0 / outside)
    }
}
