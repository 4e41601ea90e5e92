//! Engine figures for load tests.

use headlatch_types::traffic::EngineCapacity;

/// An engine with sixteen slots.
pub fn figures() -> EngineCapacity {
    EngineCapacity {
        slots: 16,
        step_ms: 9.64,
        stride: 5,
        read_per_second: 20_700.0,
        layers: 16,
        usual_prompt: 895,
        usual_answer: 92,
        ..EngineCapacity::default()
    }
}
