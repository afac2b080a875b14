//! The state of an engine server: the core, its response streams and its clock.

use flume::Receiver;
use flume::Sender;
use jujubewind::timer::Clock;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;

use super::core::EngineConfig;
use super::core::EngineCore;
use super::core::Finish;
use super::core::Output;
use super::core::SeqKey;
use super::core::Usage;
use super::streams::Streams;
use super::switch::Crash;

/// The process exit status after a crash.
const CRASH_EXIT_STATUS: i32 = 101;

/// The options of an engine server.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The engine's configuration.
    pub config: EngineConfig,
    /// The engine's first incarnation.
    pub incarnation: u64,
    /// The speed relative to real time.
    pub speed: f64,
    /// Whether a crash exits the process.
    pub exit_on_crash: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            config: EngineConfig::default(),
            incarnation: 1,
            speed: 1.0,
            exit_on_crash: false,
        }
    }
}

/// The state of an engine server.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) core: EngineCore,
    pub(crate) streams: Streams,
    /// Requests wait until this time.
    pub(crate) frozen_until: MonoTime,
    outputs: Vec<Output>,
    clock: Clock,
    speed: f64,
    exit_on_crash: bool,
    wake_tx: Sender<()>,
}

impl State {
    /// Creates the state, and the channel that signals when an event may have become due earlier.
    pub(crate) fn new(options: EngineOptions) -> (Self, Receiver<()>) {
        let (wake_tx, wake_rx) = flume::bounded(1);
        let state = Self {
            core: EngineCore::new(options.config, options.incarnation),
            streams: Streams::default(),
            frozen_until: MonoTime::ZERO,
            outputs: Vec::new(),
            clock: Clock::start(),
            speed: options.speed,
            exit_on_crash: options.exit_on_crash,
            wake_tx,
        };
        (state, wake_rx)
    }

    /// Returns the engine's time.
    pub(crate) fn now(&self) -> MonoTime {
        MonoTime::from_micros(scale(self.clock.now().micros(), self.speed))
    }

    /// Converts a duration of real time to the engine's time.
    pub fn to_engine_time(&self, real: Millis) -> Millis {
        Millis(scale(real.get(), self.speed))
    }

    /// Returns the real time until the engine time `time`, in microseconds.
    pub(crate) fn micros_until(&self, time: MonoTime) -> u64 {
        let left = time.micros().saturating_sub(self.now().micros());
        scale(left, 1.0 / self.speed).saturating_add(1)
    }

    /// Advances the core to the current time, sends its outputs and returns that time.
    pub(crate) fn advance(&mut self) -> MonoTime {
        let now = self.now();
        let before = self.core.incarnation();
        let mut outputs = std::mem::take(&mut self.outputs);
        self.core.step(now, &mut outputs);
        self.send_outputs(now, &mut outputs);
        if self.core.incarnation() != before {
            self.handle_crash();
        }
        now
    }

    /// Crashes the engine.
    pub(crate) fn crash(&mut self, crash: Crash) {
        let now = self.now();
        let mut outputs = Vec::new();
        self.core.crash(now, &mut outputs);
        self.send_outputs(now, &mut outputs);
        match crash {
            Crash::Exit => self.handle_crash(),
            // The core has lost its state already and serves again after its restart delay.
            Crash::Restart => {}
        }
    }

    /// Finishes the stream of a cancelled sequence.
    pub(crate) fn finish_cancelled(&mut self, key: SeqKey) {
        self.streams
            .finish(key, Finish::Cancelled, Usage::default());
    }

    /// Makes the step loop check for the next event again.
    pub(crate) fn wake_step_loop(&self) {
        // A full channel means that a wake-up is already pending.
        let _ = self.wake_tx.try_send(());
    }

    fn send_outputs(&mut self, now: MonoTime, outputs: &mut Vec<Output>) {
        for output in outputs.drain(..) {
            match output {
                Output::Token { key, offset } => {
                    if let Some(id) = self.streams.send_token(key, offset) {
                        self.core.cancel(now, &id);
                    }
                }
                Output::Finished { key, reason, usage } => {
                    self.streams.finish(key, reason, usage);
                }
                Output::Failed { key, .. } => self.streams.abort(key),
            }
        }
        self.outputs = std::mem::take(outputs);
    }

    /// Logs a crash of the core, and exits the process if `exit_on_crash` is set.
    fn handle_crash(&self) {
        log::warn!(
            "event=engine_crashed incarnation={}",
            self.core.incarnation()
        );
        if self.exit_on_crash {
            std::process::exit(CRASH_EXIT_STATUS);
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn scale(time: u64, factor: f64) -> u64 {
    (time as f64 * factor) as u64
}
