//! Whether a request may be sent again, and what pays for it.

use super::super::limits::MIN_RETRY_TIME;
use super::super::target::Target;
use super::Exchange;
use crate::direct::Dialect;
use crate::direct::Retry;

impl<D: Dialect> Exchange<D> {
    /// Takes a retry from the service's retry budget if the request may be sent again.
    pub(in crate::direct::api) async fn take_retry(&self, target: &Target) -> Option<Retry> {
        if !self.may_retry(target) {
            return None;
        }
        self.gateway.control.take_retry(&target.service).await
    }

    /// Whether the request may be sent again once the retry budget allows it.
    pub(in crate::direct::api) fn may_retry(&self, target: &Target) -> bool {
        target.route.repeatable() && self.may_repeat(target)
    }

    /// Whether attempts and time are left for another attempt.
    pub(super) fn may_repeat(&self, target: &Target) -> bool {
        self.has_attempts_left(target) && self.left(target) >= MIN_RETRY_TIME
    }

    /// Counts a retry once something is sent for it.
    pub(super) fn spend(&self, retry: &mut Option<Retry>) {
        if let Some(retry) = retry.take() {
            retry.spend();
            self.retries.set(self.retries.get() + 1);
            self.gateway.metrics.count_retry();
        }
    }

    /// The number of retries for which something was sent.
    pub(in crate::direct::api) fn retries(&self) -> u32 {
        self.retries.get()
    }

    pub(super) fn has_attempts_left(&self, target: &Target) -> bool {
        self.runs.get() < target.route.attempts.max(1)
    }
}
