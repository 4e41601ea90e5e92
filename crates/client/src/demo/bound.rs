//! The shortest time in which every box can have a copy.

/// Seconds in which `boxes` boxes can have a copy, if the origin's link carries four copies in
/// the window and each box's two, each way.
pub fn bound_seconds(boxes: u32, window_seconds: u64) -> f64 {
    let window = window_seconds as f64;
    let boxes = f64::from(boxes);
    let own = super::cluster::BOX_COPIES / window;
    let origin = super::cluster::ORIGIN_COPIES / window;
    (1.0 / own).max(1.0 / origin).max(boxes / (origin + boxes * own))
}
