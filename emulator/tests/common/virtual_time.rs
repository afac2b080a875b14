//! Fixtures for the engine's core.

use jujube_emulator::engine::core::EngineConfig;
use jujube_emulator::engine::core::EngineCore;
use jujube_emulator::engine::core::Output;
use jujube_emulator::engine::core::Prompt;
use jujube_emulator::engine::core::SeqKey;
use jujube_emulator::engine::core::Submit;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;

/// When each test begins.
pub const START: MonoTime = MonoTime::ZERO;

/// An engine with the model `m`.
pub fn engine() -> EngineCore {
    let config = EngineConfig {
        models: vec!["m".to_owned()],
        ..EngineConfig::default()
    };
    EngineCore::new(config, 1)
}

/// A text of so many tokens that begins with `salt`.
pub fn text(tokens: u64, salt: &str) -> String {
    let size = usize::try_from(tokens * 4).expect("it fits");
    let mut text = salt.repeat(size / salt.len() + 1);
    text.truncate(size);
    text
}

/// A request for a sequence of model `m`.
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

/// Runs the engine until it has nothing to do.
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

/// The time at which a sequence gave its first token.
pub fn first_token(events: &[(MonoTime, Output)], wanted: SeqKey) -> Option<Millis> {
    let is_first = |output: &Output| matches!(output, Output::Token { key, .. } if *key == wanted);
    let found = events.iter().find(|(_, output)| is_first(output))?;
    Some(found.0.since(START))
}
