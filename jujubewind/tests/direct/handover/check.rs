//! What must hold after each input.

use jujubewind::direct::HandoverInput as Input;
use jujubewind::direct::HandoverOutput as Output;
use jujubewind::direct::TakeoverFailure;

use super::ASK_PAUSES;
use super::MAX_RESUMPTIONS;
use super::MAX_SILENCE;
use super::Run;

impl Run {
    pub(super) fn check(&self, input: Input, output: Output) {
        let is_silent = self.now.since(self.progress) >= MAX_SILENCE;
        let holds = match output {
            Output::Read if matches!(input, Input::Event { .. }) => {
                !self.has_other() || !self.may_drop_other(input)
            }
            Output::Read => self.has_own || self.has_other() || self.unsent.is_some(),
            Output::TakeRetry if self.has_own && !is_silent => false,
            Output::TakeRetry if self.is_paused() => {
                let is_new_silence = self.has_own && self.asked == 0;
                !self.is_opening && (is_new_silence || self.is_pause_over())
            }
            Output::TakeRetry if self.has_other() => self.are_all_silent(),
            Output::TakeRetry if self.has_own => self.asked == 0,
            Output::TakeRetry => self.resumptions < MAX_RESUMPTIONS && self.may_resume(input),
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

    pub(super) const fn has_other(&self) -> bool {
        self.is_opening || self.stalled > 0
    }

    /// Whether the backend server, if it is there, and the last one that has responded were silent for
    /// too long, so that one more may be asked.
    fn are_all_silent(&self) -> bool {
        let quiet_since = self.responded.map(|at| at.max(self.progress));
        let quiet = quiet_since.map(|since| self.now.since(since));
        !self.is_opening && quiet >= Some(MAX_SILENCE)
    }

    /// Whether time passes until others are asked again.
    pub(super) fn is_paused(&self) -> bool {
        self.unsent.is_some() && self.inputs.last() == Some(&Input::Elapsed)
    }

    fn is_pause_over(&self) -> bool {
        let pause = self.unsent.map(|since| self.now.since(since));
        pause >= Some(ASK_PAUSES[0])
    }

    /// Whether a broken stream may be resumed at once: nothing that was asked since it broke was
    /// refused.
    fn may_resume(&self, input: Input) -> bool {
        match input {
            Input::Broken(_) | Input::OtherBroken => true,
            Input::OtherFailed(failure) => {
                failure == TakeoverFailure::MayHaveRun || self.resumptions == 0
            }
            _ => false,
        }
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

    /// A silence leads to a decision, at the deadline at the latest.
    pub(super) fn check_wait(&self) {
        if self.has_ended() || self.output == Output::TakeRetry {
            return;
        }
        let until = self.now.after(self.handover.wait(self.now));
        let output = self.handover.clone().apply(until, Input::Elapsed);
        let is_decision = matches!(output, Output::TakeRetry | Output::Truncate(_));
        assert!(is_decision, "{output:?} in the end of {:?}", self.inputs);
        assert!(until <= self.deadline.max(self.now), "{:?}", self.inputs);
        if let Some(since) = self.unsent.filter(|_| !self.is_opening) {
            let silent_at = self.progress.after(MAX_SILENCE);
            let own = if self.has_own { silent_at } else { since };
            let latest = since.after(ASK_PAUSES[1]).max(own).max(self.now);
            assert!(until <= latest, "{:?}", self.inputs);
        }
    }
}
