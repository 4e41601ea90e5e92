//! What the demo measured.

use std::fmt;

use serde::Serialize;

use super::{
    bound::bound_seconds,
    cluster::{DemoCluster, DrawnBytes},
    model::DemoModel,
    traffic::TrafficCounts,
};
use crate::cli::DemoArgs;

/// Figures of one demo.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DemoReport {
    /// Boxes with an engine.
    pub boxes: u32,
    /// Size of the first version, in bytes.
    pub copy_bytes: u64,
    /// Time until every box served the first version, in seconds.
    pub seconds_to_n: f64,
    /// Shortest time possible, in seconds.
    pub bound_seconds: f64,
    /// The one over the other.
    pub time_ratio: f64,
    /// Bytes drawn from the origin for the first version, in copies.
    pub origin_copies: f64,
    /// Bytes drawn from the store for the first version, in copies.
    pub store_copies: f64,
    /// Time until every box served the second version, in seconds.
    pub second_seconds: f64,
    /// Bytes drawn from the origin for the second version, in copies.
    pub second_origin_copies: f64,
    /// Bytes drawn from the store for the second version, in copies.
    pub second_store_copies: f64,
    /// What callers got.
    pub requests: TrafficCounts,
}

impl DemoReport {
    /// The report of a demo whose versions took `seconds` and that had drawn `first` before the
    /// second version.
    pub fn new(
        args: &DemoArgs,
        model: &DemoModel,
        cluster: &DemoCluster,
        seconds: (f64, f64),
        first: DrawnBytes,
        counts: &TrafficCounts,
    ) -> Self {
        let all = cluster.drawn();
        let copy = model.size().bytes().max(1) as f64;
        let bound = bound_seconds(args.boxes, args.window_seconds);
        Self {
            boxes: args.boxes,
            copy_bytes: model.size().bytes(),
            seconds_to_n: seconds.0,
            bound_seconds: bound,
            time_ratio: seconds.0 / bound,
            origin_copies: first.origin as f64 / copy,
            store_copies: first.store as f64 / copy,
            second_seconds: seconds.1,
            second_origin_copies: (all.origin - first.origin) as f64 / copy,
            second_store_copies: (all.store - first.store) as f64 / copy,
            requests: *counts,
        }
    }

    /// Whether nothing happened that must never happen.
    pub fn is_good(&self) -> bool {
        let requests = &self.requests;
        requests.whole > 0
            && [requests.cut_off, requests.crossed, requests.mixed, requests.doubled, requests.lost]
                .iter()
                .all(|count| *count == 0)
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mib = self.copy_bytes as f64 / f64::from(1 << 20);
        writeln!(f, "one copy                     {mib:10.1} MiB")?;
        writeln!(f, "time until {:4} boxes serve  {:10.2} s", self.boxes, self.seconds_to_n)?;
        writeln!(f, "  physical limit             {:10.2} s", self.bound_seconds)?;
        writeln!(f, "  ratio                      {:10.2}", self.time_ratio)?;
        writeln!(f, "  drawn from the origin      {:10.2} copies", self.origin_copies)?;
        writeln!(f, "  drawn from the store       {:10.2} copies", self.store_copies)?;
        writeln!(f, "second version, rolled over  {:10.2} s", self.second_seconds)?;
        writeln!(f, "  drawn from the origin      {:10.2} copies", self.second_origin_copies)?;
        writeln!(f, "  drawn from the store       {:10.2} copies", self.second_store_copies)?;
        let requests = &self.requests;
        writeln!(f, "requests                     {:10}", requests.sent)?;
        let rows = [
            ("whole answers", requests.whole),
            ("not run", requests.not_run),
            ("may have run", requests.may_have_run),
            ("cut off in silence", requests.cut_off),
            ("crossed", requests.crossed),
            ("from mixed weights", requests.mixed),
            ("run twice", requests.doubled),
            ("lost", requests.lost),
        ];
        let rows: Vec<String> =
            rows.iter().map(|(name, count)| format!("  {name:<26} {count:10}")).collect();
        f.write_str(&rows.join("\n"))
    }
}
