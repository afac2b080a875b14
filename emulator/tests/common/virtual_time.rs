//! Fixtures for tests of the engine core in virtual time.

use jujube_emulator::engine::core::EngineConfig;
use jujube_emulator::engine::core::EngineCore;
use jujube_emulator::engine::core::Output;
use jujube_emulator::engine::core::Prompt;
use jujube_emulator::engine::core::SeqKey;
use jujube_emulator::engine::core::Submit;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;

/// Start time of each test.
pub const START: MonoTime = MonoTime::ZERO;

/// Creates an engine with the model `m`.
pub fn engine() -> EngineCore {
    let config = EngineConfig {
        models: vec!["m".to_owned()],
        ..EngineConfig::default()
    };
    EngineCore::new(config, 1)
}

/// Text of `tokens` tokens that repeats `seed`.
pub fn text(tokens: u64, seed: &str) -> String {
    let size = usize::try_from(tokens * 4).expect("it fits");
    let mut text = seed.repeat(size / seed.len() + 1);
    text.truncate(size);
    text
}

/// Request for a sequence of model `m`.
pub fn submit(id: &str, prompt: &str, max_tokens: u64) -> Submit {
    Submit {
        id: id.to_owned(),
        model: "m".to_owned(),
        prompt: Prompt::parse(prompt),
        max_tokens,
        priority: 0,
        offset: 0,
        group: None,
    }
}

/// Steps the engine until it has no pending events.
pub fn run_until_idle(engine: &mut EngineCore) -> Vec<(MonoTime, Output)> {
    let mut all = Vec::new();
    while engine.next_event() < MonoTime::NEVER {
        let now = engine.next_event();
        let mut outputs = Vec::new();
        engine.step(now, &mut outputs);
        all.extend(outputs.into_iter().map(|output| (now, output)));
    }
    all
}

/// Time of a sequence's first token.
pub fn first_token(events: &[(MonoTime, Output)], wanted: SeqKey) -> Option<Millis> {
    let is_first = |output: &Output| matches!(output, Output::Token { key, .. } if *key == wanted);
    let found = events.iter().find(|(_, output)| is_first(output))?;
    Some(found.0.since(START))
}
