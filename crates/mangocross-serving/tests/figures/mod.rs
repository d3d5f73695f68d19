//! Specification of an engine service, for tests.

use std::time::Duration;

use mangocross_serving::EngineSpec;
use mangocross_serving::ModelSpec;

/// Returns the specification of an engine service with a large and a small model.
pub(crate) fn engine_spec() -> EngineSpec {
    let model = |name: &str, group_size, share| ModelSpec {
        model: name.parse().expect("a valid id"),
        group_size,
        share,
        slowdown: 1.0,
        load_time: Duration::from_secs(4),
        staged_load_time: Duration::from_millis(800),
    };
    EngineSpec {
        models: vec![model("large", 6, 0.67), model("small", 3, 0.33)],
        slots: 26,
        stride: 6,
        step_ms: 6.45,
        step_per_request_ms: 0.0967,
        read_tokens_per_s: 56_100.0,
        usual_prompt_tokens: 1_115.0,
        usual_answer_tokens: 152.0,
        loads_per_s: 5.5,
        loads_at_once: 8,
        forming_time: Duration::from_millis(300),
    }
}
