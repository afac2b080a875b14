//! The agent's decisions, without its engine.

use jujubewind::agent::Command;
use jujubewind::agent::Core;
use jujubewind::agent::EngineEvent;
use jujubewind::rpc::message::Finish;
use jujubewind::settings;
use jujubewind::settings::AgentSettings;
use jujubewind::types::AttemptId;
use jujubewind::types::Incarnation;
use jujubewind::types::MonoTime;
use jujubewind::types::Tokens;

const SETTINGS: &str = "
node: agent-1
domain: room-1
listen: 127.0.0.1:1
admin: 127.0.0.1:2
backend: {kind: engine, addr: 127.0.0.1:3}
models: [office]
";

fn core() -> Core {
    let settings: AgentSettings = settings::parse(SETTINGS).expect("valid settings");
    Core::new(settings, Incarnation(1)).expect("a valid chart")
}

#[test]
fn the_end_of_an_unknown_attempt_is_not_answered_with_another_cancel() {
    let attempt = AttemptId::from_number(7);
    let complete = EngineEvent::End {
        finish: Finish::Stop,
        count: Tokens(5),
    };
    let events = [EngineEvent::Stopped, complete];
    for event in events {
        let commands = core().handle_engine_event(MonoTime::ZERO, attempt, event.clone());

        assert!(commands.is_empty(), "{event:?}: {commands:?}");
    }
}

#[test]
fn the_output_of_an_unknown_attempt_is_cancelled() {
    let attempt = AttemptId::from_number(7);
    let event = EngineEvent::Token {
        offset: Tokens::ZERO,
        text: "ba".to_owned(),
    };

    let commands = core().handle_engine_event(MonoTime::ZERO, attempt, event);

    assert!(
        matches!(commands[..], [Command::Stop(id)] if id == attempt),
        "{commands:?}"
    );
}
