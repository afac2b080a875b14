//! What a request holds, and whether it may run for that.

use super::Core;
use super::Verdict;
use crate::conviction::Admission;
use crate::conviction::Fingerprint;
use crate::conviction::Prints;
use crate::conviction::limits::PROGRESS_SPAN;
use crate::refusal::Refusal;
use crate::types::Millis;
use crate::types::MonoTime;

/// What identifies the content of a request.
#[derive(Debug)]
pub(super) struct Content {
    /// The fingerprints of the request and its parts.
    pub(super) prints: Prints,
    /// Whether the request was admitted before.
    pub(super) is_retry: bool,
}

impl Core {
    /// Returns what the request would be a trial of, or its refusal.
    pub(super) fn check_content(
        &self,
        now: MonoTime,
        content: &Content,
    ) -> Result<Vec<Fingerprint>, Refusal> {
        match self
            .suspects
            .admission(now, &content.prints, content.is_retry)
        {
            Admission::Run => Ok(Vec::new()),
            Admission::Trial(prints) => Ok(prints),
            Admission::Refuse(print, refusal) => {
                crate::event!(
                    info,
                    "content_refused",
                    print = print,
                    crashes = self.suspects.crashes(now, print),
                    retry = refusal.retry
                );
                Err(refusal)
            }
        }
    }

    /// Records that a request that is a trial of what is `convicted` in it is sent, if it is placed.
    pub(super) fn begin_trial(
        &mut self,
        now: MonoTime,
        prints: &Prints,
        convicted: &[Fingerprint],
        verdict: &Verdict,
    ) {
        let Verdict::Place(placement) = verdict else {
            return;
        };
        if convicted.is_empty() {
            return;
        }
        // Until its answer has gone on, and that was told.
        let span = placement.first_token.millis();
        let span = Millis(span.get() + 2 * PROGRESS_SPAN.get());
        let failed = self.suspects.begin_trial(now, prints, convicted, span);
        for print in convicted {
            crate::event!(info, "conviction_tried", print = print, failed = failed);
        }
    }
}
