//! Every short run of what can happen to a stream and its backend servers.

mod check;

use jujubewind::direct::Handover;
use jujubewind::direct::HandoverInput as Input;
use jujubewind::direct::HandoverOutput as Output;
use jujubewind::direct::TakeoverFailure;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;

/// The number of inputs of the longest runs.
const DEPTH: usize = 9;
const MAX_SILENCE: Millis = Millis(1_200);
const DEADLINE: Millis = Millis(4_000);
/// Long enough to pass a part of a silence, and to pass the deadline within a run.
const PAUSES: [Millis; 2] = [Millis(700), Millis(2_500)];
/// Shorter than the pause before others are asked again.
const SHORT_PAUSE: Millis = Millis(50);
/// The shortest and the longest pause before others are asked again.
const ASK_PAUSES: [Millis; 2] = [Millis(100), Millis(800)];
const FAILURES: [TakeoverFailure; 3] = [
    TakeoverFailure::MayHaveRun,
    TakeoverFailure::Rejected,
    TakeoverFailure::Unsent,
];
/// Most requests to others for a stream that broke.
const MAX_RESUMPTIONS: usize = 4;

/// A stream and what its caller, its backend servers and the retry budget have seen of it.
#[derive(Clone)]
struct Run {
    handover: Handover,
    now: MonoTime,
    deadline: MonoTime,
    inputs: Vec<Input>,
    has_own: bool,
    /// Whether the last one that was asked has not responded.
    is_opening: bool,
    /// The others that have responded and sent no event.
    stalled: usize,
    /// When the last of them responded, if nobody was asked since.
    responded: Option<MonoTime>,
    /// The last progress, and the requests to others since then.
    progress: MonoTime,
    asked: usize,
    /// Since when the backend server has gone on after the silence in which another one was asked.
    resumed: Option<MonoTime>,
    resumptions: usize,
    /// Whether nobody else will take the stream.
    is_refused: bool,
    /// When nobody took it who may take it later.
    unsent: Option<MonoTime>,
    /// How often others were asked again after that.
    asked_again: usize,
    output: Output,
}

impl Run {
    fn start() -> Self {
        let now = MonoTime::default();
        let deadline = now.after(DEADLINE);
        Self {
            handover: Handover::new(now, deadline, Some(MAX_SILENCE)),
            now,
            deadline,
            inputs: Vec::new(),
            has_own: true,
            is_opening: false,
            stalled: 0,
            responded: None,
            progress: now,
            asked: 0,
            resumed: None,
            resumptions: 0,
            is_refused: false,
            unsent: None,
            asked_again: 0,
            output: Output::Read,
        }
    }

    /// What can happen next.
    fn possible(&self) -> Vec<(Millis, Input)> {
        if self.has_ended() {
            return Vec::new();
        }
        let at_once = |input| (Millis::ZERO, input);
        if self.output == Output::TakeRetry {
            let denied = [true, false].map(|lasting| Input::RetryDenied { lasting });
            let granted = std::iter::once(Input::RetryGranted);
            return granted.chain(denied).map(at_once).collect();
        }
        let mut possible: Vec<_> = PAUSES.map(|pause| (pause, Input::Elapsed)).to_vec();
        if self.unsent.is_some() {
            possible.push((SHORT_PAUSE, Input::Elapsed));
        }
        if self.has_own {
            let own = [
                Input::Event { numbered: true },
                Input::Event { numbered: false },
                Input::Ended,
                Input::Broken("broken"),
            ];
            possible.extend(own.map(at_once));
        }
        if self.is_opening {
            possible.extend(FAILURES.map(Input::OtherFailed).map(at_once));
            possible.push(at_once(Input::OtherResponded));
        }
        if self.stalled > 0 {
            possible.extend([Input::OtherBegan, Input::OtherBroken].map(at_once));
        }
        possible
    }

    fn after(&self, pause: Millis, input: Input) -> Self {
        let mut run = self.clone();
        run.now = run.now.after(pause);
        run.inputs.push(input);
        run.see(input);
        let output = run.handover.apply(run.now, input);
        run.check(input, output);
        run.carry_out(output);
        run.check_wait();
        run
    }

    fn see(&mut self, input: Input) {
        match input {
            Input::Event { .. } => {
                if self.now.since(self.progress) >= MAX_SILENCE {
                    self.resumed = Some(self.now);
                }
                self.record_progress();
            }
            Input::Broken(_) => {
                self.has_own = false;
                self.is_refused = false;
                self.resumptions = 0;
            }
            Input::OtherFailed(failure) => {
                self.is_opening = false;
                self.see_failure(failure);
            }
            Input::OtherResponded => {
                self.is_opening = false;
                self.stalled += 1;
                self.responded = Some(self.now);
                self.unsent = None;
            }
            Input::OtherBroken => {
                self.stalled -= 1;
                self.see_failure(TakeoverFailure::MayHaveRun);
            }
            Input::RetryDenied { lasting } => {
                self.is_refused = true;
                self.unsent = (!lasting).then_some(self.now);
            }
            _ => {}
        }
    }

    fn see_failure(&mut self, failure: TakeoverFailure) {
        self.is_refused = match failure {
            TakeoverFailure::MayHaveRun => self.resumptions == MAX_RESUMPTIONS,
            TakeoverFailure::Rejected => true,
            TakeoverFailure::Unsent => false,
        };
        if failure != TakeoverFailure::Rejected && !self.is_opening {
            self.unsent = Some(self.now);
        }
    }

    fn carry_out(&mut self, output: Output) {
        self.output = output;
        match output {
            Output::TakeRetry => {
                self.asked += 1;
                let is_resumption = !self.has_own && !self.has_other();
                self.resumptions += usize::from(is_resumption && !self.is_paused());
                self.responded = None;
                self.asked_again += usize::from(self.is_paused());
                self.unsent = None;
            }
            Output::AskOther => {
                self.is_opening = true;
                self.is_refused = false;
            }
            Output::DropOther => self.forget_others(),
            Output::Switch => {
                self.has_own = true;
                self.forget_others();
                self.record_progress();
            }
            Output::Read | Output::End | Output::Truncate(_) => {}
        }
    }

    fn has_ended(&self) -> bool {
        matches!(self.output, Output::End | Output::Truncate(_))
    }

    const fn forget_others(&mut self) {
        (self.is_opening, self.stalled) = (false, 0);
        self.responded = None;
    }

    fn record_progress(&mut self) {
        self.progress = self.now;
        self.asked = 0;
        if !self.has_other() {
            self.unsent = None;
        }
    }
}

/// Visits all runs that begin with `run`, with `depth` further inputs at the most.
fn explore(run: &Run, depth: usize, visit: &mut impl FnMut(&Run)) {
    visit(run);
    if depth == 0 {
        return;
    }
    for (pause, input) in run.possible() {
        explore(&run.after(pause, input), depth - 1, visit);
    }
}

#[test]
fn a_backend_server_is_kept_until_its_replacement_has_sent_an_event_in_all_short_runs() {
    let mut ends = Vec::new();
    let mut most_resumptions = 0;
    let mut most_stalled = 0;
    let mut most_asked_again = 0;

    explore(&Run::start(), DEPTH, &mut |run| {
        most_stalled = most_stalled.max(run.stalled);
        most_asked_again = most_asked_again.max(run.asked_again);
        most_resumptions = most_resumptions.max(run.resumptions);
        if run.has_ended() && !ends.contains(&run.output) {
            ends.push(run.output);
        }
    });

    assert_eq!(ends.len(), 3, "{ends:?}");
    assert_eq!(most_resumptions, MAX_RESUMPTIONS, "the runs are too short");
    assert!(most_stalled >= 2, "the runs are too short");
    assert!(most_asked_again >= 2, "the runs are too short");
}

#[test]
fn a_stream_that_cannot_be_resumed_waits_for_its_backend_server_until_the_deadline() {
    let now = MonoTime::default();
    let deadline = now.after(DEADLINE);
    let mut handover = Handover::new(now, deadline, None);

    let wait = handover.wait(now);
    let early = handover.apply(now.after(Millis(3_999)), Input::Elapsed);
    let late = handover.apply(deadline, Input::Elapsed);

    assert_eq!(wait, DEADLINE);
    assert_eq!(early, Output::Read);
    assert_eq!(late, Output::Truncate("deadline"));
}
