//! A call that two backend servers were asked for.

use futures::future::Either;
use futures::future::select;

use super::super::hedge::Contender;
use super::super::hedge::Ending;
use super::super::hedge::Hedge;
use super::super::hedge::Verdict;
use super::super::target::Target;
use super::super::upstream_response::UpstreamResponse;
use super::AttemptError;
use super::Exchange;
use super::Result;
use super::attempt::AttemptResult;
use super::response::is_useful;
use super::sent_request::SentRequest;
use crate::direct::Dialect;
use crate::direct::Outcome;
use crate::direct::Retry;
use crate::refusal::Reason;

/// The attempt at the backend server that was asked first.
enum OwnAttempt {
    /// Its response has not begun.
    Sent(SentRequest),
    /// The head of its response has arrived.
    Responding(Box<UpstreamResponse>),
    Ended(AttemptError),
}

impl<D: Dialect> Exchange<D> {
    /// Sends a call to another backend server as well and returns one of the two whole responses.
    pub(super) async fn hedge(
        &self,
        target: &Target,
        sent: SentRequest,
        last: Option<u64>,
        retry: Retry,
    ) -> AttemptResult<UpstreamResponse> {
        let silence = self.keep_silent(&sent.grant.placement.primary.id);
        let mut own = OwnAttempt::Sent(sent);
        let mut other = Box::pin(self.open_whole(target, last, retry));
        let mut hedge = Hedge::default();
        let reading = Box::pin(self.read_own(target, &mut own));
        let first = match select(reading, other.as_mut()).await {
            Either::Left((ending, _)) => Either::Left(ending),
            Either::Right((other, _)) => Either::Right(other),
        };
        let other = match first {
            Either::Left(ending) => {
                drop(silence);
                let verdict = hedge.apply(Contender::Own, ending);
                if verdict != Verdict::Wait {
                    return self.conclude(verdict, own, None);
                }
                other.await
            }
            Either::Right(other) => other,
        };
        let ending = other.as_ref().map_or(Ending::Unanswered, ending_of);
        let mut verdict = hedge.apply(Contender::Other, ending);
        if verdict == Verdict::Wait {
            self.log_other(&other);
            let ending = self.read_own(target, &mut own).await;
            verdict = hedge.apply(Contender::Own, ending);
        }
        self.conclude(verdict, own, other.ok())
    }

    /// Sends the call until a backend server responds, and reads its whole response.
    async fn open_whole(
        &self,
        target: &Target,
        last: Option<u64>,
        retry: Retry,
    ) -> Result<UpstreamResponse> {
        let mut upstream = self.open(target.clone(), last, Some(retry)).await?;
        match upstream.read_whole().await {
            Ok(()) => Ok(upstream),
            Err(what) => {
                self.fail_unfinished(upstream, what);
                Err(self.failure(Reason::BackendDown))
            }
        }
    }

    /// Reads the whole response of the backend server that was asked first. May be cancelled and
    /// called again.
    async fn read_own(&self, target: &Target, own: &mut OwnAttempt) -> Ending {
        if let OwnAttempt::Sent(sent) = own {
            let head = sent.head().await;
            own.replace(|attempt| match attempt {
                OwnAttempt::Sent(sent) => self
                    .accept_head(target, sent.grant, head)
                    .map_or_else(OwnAttempt::Ended, |upstream| {
                        OwnAttempt::Responding(Box::new(upstream))
                    }),
                attempt => attempt,
            });
        }
        let OwnAttempt::Responding(upstream) = own else {
            return Ending::Unanswered;
        };
        let Err(what) = upstream.read_whole().await else {
            return ending_of(upstream);
        };
        own.replace(|attempt| match attempt {
            OwnAttempt::Responding(upstream) => {
                OwnAttempt::Ended(self.fail_unfinished(*upstream, what))
            }
            attempt => attempt,
        });
        Ending::Unanswered
    }

    /// Ends the attempts as was decided.
    fn conclude(
        &self,
        verdict: Verdict,
        own: OwnAttempt,
        other: Option<UpstreamResponse>,
    ) -> AttemptResult<UpstreamResponse> {
        if let (Verdict::Forward(Contender::Other), Some(other)) = (verdict, other) {
            self.give_up(own);
            return Ok(other);
        }
        match own {
            OwnAttempt::Responding(upstream) => Ok(*upstream),
            own => Err(self.give_up(own)),
        }
    }

    fn give_up(&self, own: OwnAttempt) -> AttemptError {
        let cause = "another backend server answered first";
        match own {
            OwnAttempt::Sent(sent) => {
                self.fail_attempt(sent.grant, "silent", cause, Outcome::Silent)
            }
            OwnAttempt::Responding(upstream) if is_useful(&upstream) => {
                self.fail_attempt(upstream.grant, "silent", cause, Outcome::Silent)
            }
            OwnAttempt::Responding(upstream) => {
                let status = upstream.response.status();
                self.fail_attempt(upstream.grant, "failed", status, Outcome::Faulty)
            }
            OwnAttempt::Ended(error) => error,
        }
    }

    fn log_other(&self, other: &Result<UpstreamResponse>) {
        match other {
            Ok(upstream) => self.log_kept(&upstream.response.status()),
            Err(failure) => self.log_kept(&failure.reason),
        }
    }
}

impl OwnAttempt {
    fn replace(&mut self, change: impl FnOnce(Self) -> Self) {
        let unknown = Self::Ended(AttemptError::MayHaveRun);
        *self = change(std::mem::replace(self, unknown));
    }
}

/// How an attempt ended whose whole response was read.
fn ending_of(upstream: &UpstreamResponse) -> Ending {
    if is_useful(upstream) {
        Ending::Answered
    } else {
        Ending::Failed
    }
}
