//! Every short run of what can happen to a stream and its backend servers.

use jujubewind::direct::Handover;
use jujubewind::direct::HandoverInput as Input;
use jujubewind::direct::HandoverOutput as Output;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;

/// The number of inputs of the longest runs.
const DEPTH: usize = 9;
const MAX_SILENCE: Millis = Millis(1_200);
const DEADLINE: Millis = Millis(4_000);
/// Long enough to pass a part of a silence, and to pass the deadline within a run.
const PAUSES: [Millis; 2] = [Millis(700), Millis(2_500)];
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
    /// How the last attempt to get a replacement ended.
    is_refused: bool,
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
            return vec![at_once(Input::RetryGranted), at_once(Input::RetryDenied)];
        }
        let mut possible: Vec<_> = PAUSES.map(|pause| (pause, Input::Elapsed)).to_vec();
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
            let failed = [true, false].map(|sent| Input::OtherFailed { sent });
            possible.extend(failed.map(at_once));
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
            Input::OtherFailed { .. } => {
                self.is_opening = false;
                self.is_refused = true;
            }
            Input::OtherResponded => {
                self.is_opening = false;
                self.stalled += 1;
                self.responded = Some(self.now);
            }
            Input::OtherBroken => {
                self.stalled -= 1;
                self.is_refused = true;
            }
            Input::RetryDenied => self.is_refused = true,
            _ => {}
        }
    }

    fn check(&self, input: Input, output: Output) {
        let is_silent = self.now.since(self.progress) >= MAX_SILENCE;
        let holds = match output {
            Output::Read if matches!(input, Input::Event { .. }) => {
                !self.has_other() || !self.may_drop_other(input)
            }
            Output::Read => self.has_own || self.has_other(),
            Output::TakeRetry if self.has_other() => self.are_all_silent(),
            Output::TakeRetry if self.has_own => is_silent && self.asked == 0,
            Output::TakeRetry => self.resumptions < MAX_RESUMPTIONS,
            Output::AskOther => !self.is_opening && input == Input::RetryGranted,
            Output::DropOther => self.has_other() && self.may_drop_other(input),
            Output::Switch => self.stalled > 0 && input == Input::OtherBegan,
            Output::End => input == Input::Ended,
            Output::Truncate("deadline") => self.has_own && self.now >= self.deadline,
            Output::Truncate("broken") => {
                let has_nothing = !self.has_own && !self.has_other() && self.is_refused;
                has_nothing || (!self.has_own && self.now >= self.deadline)
            }
            Output::Truncate(_) => false,
        };
        assert!(holds, "{output:?} after {:?}", self.inputs);
    }

    const fn has_other(&self) -> bool {
        self.is_opening || self.stalled > 0
    }

    /// Whether the backend server, if it is there, and the last one that has responded were silent for
    /// too long, so that one more may be asked.
    fn are_all_silent(&self) -> bool {
        let quiet_since = self.responded.map(|at| at.max(self.progress));
        let quiet = quiet_since.map(|since| self.now.since(since));
        !self.is_opening && quiet >= Some(MAX_SILENCE)
    }

    /// Whether the backend server has gone on for as long as it may be silent, or its events cannot be
    /// told from the other one's.
    fn may_drop_other(&self, input: Input) -> bool {
        let gone_on = self.resumed.map(|since| self.now.since(since));
        match input {
            Input::Event { numbered } => !numbered || gone_on >= Some(MAX_SILENCE),
            _ => false,
        }
    }

    fn carry_out(&mut self, output: Output) {
        self.output = output;
        match output {
            Output::TakeRetry => {
                self.asked += 1;
                self.resumptions += usize::from(!self.has_own && !self.has_other());
                self.responded = None;
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
    }

    /// A silence leads to a decision, at the deadline at the latest.
    fn check_wait(&self) {
        if self.has_ended() || self.output == Output::TakeRetry {
            return;
        }
        let until = self.now.after(self.handover.wait(self.now));
        let output = self.handover.clone().apply(until, Input::Elapsed);
        let is_decision = matches!(output, Output::TakeRetry | Output::Truncate(_));
        assert!(is_decision, "{output:?} in the end of {:?}", self.inputs);
        assert!(until <= self.deadline.max(self.now), "{:?}", self.inputs);
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

    explore(&Run::start(), DEPTH, &mut |run| {
        most_stalled = most_stalled.max(run.stalled);
        most_resumptions = most_resumptions.max(run.resumptions);
        if run.has_ended() && !ends.contains(&run.output) {
            ends.push(run.output);
        }
    });

    assert_eq!(ends.len(), 3, "{ends:?}");
    assert_eq!(most_resumptions, MAX_RESUMPTIONS, "the runs are too short");
    assert!(most_stalled >= 2, "the runs are too short");
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
