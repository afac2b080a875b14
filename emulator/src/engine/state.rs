//! The engine's core with its streams and its clock.

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

/// How an engine is served.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The engine's settings.
    pub config: EngineConfig,
    /// Its start number.
    pub incarnation: u64,
    /// How many times faster than real time it runs.
    pub speed: f64,
    /// Whether a crash ends the process.
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

/// The engine's core with its streams and its clock.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) core: EngineCore,
    pub(crate) streams: Streams,
    pub(crate) thaw: MonoTime,
    outputs: Vec<Output>,
    clock: Clock,
    speed: f64,
    exit_on_crash: bool,
    waker: Sender<()>,
}

impl State {
    /// Makes the state, and the channel that tells when there may be an earlier event.
    pub(crate) fn new(options: EngineOptions) -> (Self, Receiver<()>) {
        let (waker, woken) = flume::bounded(1);
        let state = Self {
            core: EngineCore::new(options.config, options.incarnation),
            streams: Streams::default(),
            thaw: MonoTime::ZERO,
            outputs: Vec::new(),
            clock: Clock::start(),
            speed: options.speed,
            exit_on_crash: options.exit_on_crash,
            waker,
        };
        (state, woken)
    }

    /// The engine's time.
    pub(crate) fn now(&self) -> MonoTime {
        MonoTime::from_micros(scale(self.clock.now().micros(), self.speed))
    }

    /// A span of the callers' clock on the engine's clock, which runs faster.
    pub fn span(&self, real: Millis) -> Millis {
        Millis(scale(real.get(), self.speed))
    }

    /// Real microseconds until `time`.
    pub(crate) fn micros_until(&self, time: MonoTime) -> u64 {
        let left = time.micros().saturating_sub(self.now().micros());
        scale(left, 1.0 / self.speed).saturating_add(1)
    }

    /// Brings the core up to now and sends what it gave.
    pub(crate) fn advance(&mut self) -> MonoTime {
        let now = self.now();
        let before = self.core.incarnation();
        let mut outputs = std::mem::take(&mut self.outputs);
        self.core.step(now, &mut outputs);
        self.send(now, &mut outputs);
        if self.core.incarnation() != before {
            self.note_crash();
        }
        now
    }

    /// Crashes the engine.
    pub(crate) fn crash(&mut self, crash: Crash) {
        let now = self.now();
        let mut outputs = Vec::new();
        self.core.crash(now, &mut outputs);
        self.send(now, &mut outputs);
        match crash {
            Crash::Exit => self.note_crash(),
            Crash::Restart => {}
        }
    }

    /// Ends the stream of a sequence that was cancelled.
    pub(crate) fn cancelled(&mut self, key: SeqKey) {
        self.streams
            .finish(key, Finish::Cancelled, Usage::default());
    }

    /// Lets the pump look for the next event again.
    pub(crate) fn wake(&self) {
        // A full channel means that the pump will look anyway.
        let _ = self.waker.try_send(());
    }

    fn send(&mut self, now: MonoTime, outputs: &mut Vec<Output>) {
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
                Output::Failed { key, .. } => self.streams.fail(key),
            }
        }
        self.outputs = std::mem::take(outputs);
    }

    fn note_crash(&self) {
        log::warn!(
            "event=engine_crashed incarnation={}",
            self.core.incarnation()
        );
        if self.exit_on_crash {
            std::process::exit(CRASH_STATUS);
        }
    }
}

/// The exit status of a crash.
const CRASH_STATUS: i32 = 101;

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn scale(micros: u64, factor: f64) -> u64 {
    (micros as f64 * factor) as u64
}
