//! Decides which of two backend servers that have a call answers it.

/// The backend server that was asked first, or the one that was asked while it was silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contender {
    /// The one that was asked first.
    Own,
    /// The one that was asked as well.
    Other,
}

/// How the attempt at one of them ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a whole response that is worth more than that of the other one.
    Answered,
    /// With a whole response that tells of a failure.
    Failed,
    /// Without a whole response.
    Unanswered,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Wait for the one whose attempt is still open.
    Wait,
    /// Forward the response of this one and give up the other one.
    Forward(Contender),
    /// Neither has answered.
    GiveUp,
}

/// The endings so far. Only a whole response ends an attempt: the head of one does not show that the
/// rest will arrive.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hedge {
    first: Option<(Contender, Ending)>,
}

impl Hedge {
    /// Decides what to do after the attempt at `contender` has ended.
    pub const fn apply(&mut self, contender: Contender, ending: Ending) -> Verdict {
        let first = self.first.replace((contender, ending));
        match (ending, first) {
            (Ending::Answered, _) | (Ending::Failed, Some((_, Ending::Unanswered))) => {
                Verdict::Forward(contender)
            }
            (_, None) => Verdict::Wait,
            (Ending::Unanswered, Some((_, Ending::Unanswered))) => Verdict::GiveUp,
            (_, Some((first, _))) => Verdict::Forward(first),
        }
    }
}
