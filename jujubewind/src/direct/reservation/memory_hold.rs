//! The reservation of memory at one engine.

use super::Order;
use super::OrderReply;
use super::ReservationLimits;
use super::Step;
use crate::direct::BootTime;

/// The phase of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first order has not been answered yet.
    Taking,
    /// The memory is reserved for a request.
    Held,
    /// The request needs it no longer.
    Ending,
}

/// Decides which orders to send about memory at one engine.
///
/// Times count the suspension of the machine, as the engine's do.
#[derive(Clone, Debug)]
pub struct MemoryHold {
    limits: ReservationLimits,
    phase: Phase,
    started: BootTime,
    is_used: bool,
    next_order: BootTime,
    /// By when the engine has dropped the memory by itself, as far as orders were answered.
    held_until: Option<BootTime>,
    /// Until when an order without an answer may set memory aside.
    doubt_end: Option<BootTime>,
    /// By when the engine has dropped the memory at least once, even if all renewals without an
    /// answer were carried out; then it has cut off a request that used it.
    kept_until: Option<BootTime>,
}

impl MemoryHold {
    /// Creates a reservation whose first order is due now.
    #[must_use]
    pub const fn new(now: BootTime, limits: ReservationLimits) -> Self {
        Self {
            limits,
            phase: Phase::Taking,
            started: now,
            is_used: false,
            next_order: now,
            held_until: None,
            doubt_end: None,
            kept_until: None,
        }
    }

    /// The next step.
    #[must_use]
    pub fn step(&self, now: BootTime) -> Step {
        match self.phase {
            Phase::Taking => Step::Send(Order::Reserve),
            Phase::Held if self.is_lost(now) => Step::Lost,
            Phase::Held if self.has_enough(now) => Step::Sleep(self.max_idle_end().since(now)),
            Phase::Held if now >= self.next_order => Step::Send(Order::Reserve),
            Phase::Ending if self.may_hold_until().is_none_or(|until| now >= until) => Step::Ended,
            Phase::Ending if now >= self.next_order => Step::Send(Order::Release),
            Phase::Held | Phase::Ending => Step::Sleep(self.next_order.since(now)),
        }
    }

    /// Records the reply, at `now`, to an order that was decided on at `sent`.
    pub fn record(&mut self, now: BootTime, sent: BootTime, order: Order, reply: OrderReply) {
        match (order, reply) {
            (_, OrderReply::Restarted) => {
                self.held_until = None;
                self.kept_until = None;
                self.end(now);
            }
            (Order::Reserve, OrderReply::Done) => {
                // A freeze may lie between the decision to send the order and its arrival.
                let until = now.after(self.limits.hold);
                self.held_until = self.held_until.max(Some(until));
                self.next_order = self.next_renewal(sent);
                self.kept_until = Some(until);
                if self.phase == Phase::Taking {
                    self.phase = Phase::Held;
                }
            }
            (Order::Reserve, _) => self.record_failed_reserve(now, sent, reply),
            (Order::Release, OrderReply::Done) => {
                self.held_until = None;
                self.next_order = now.after(self.limits.recheck);
            }
            (Order::Release, _) => self.next_order = now.after(self.limits.retry),
        }
    }

    /// Records that the request uses the memory from now on.
    pub const fn mark_used(&mut self) {
        self.is_used = true;
    }

    /// Records that the request needs the memory no longer.
    pub fn end(&mut self, now: BootTime) {
        if self.phase != Phase::Ending {
            self.phase = Phase::Ending;
            self.next_order = now;
        }
    }

    /// Whether the first order was answered with success and the request has not ended.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.phase == Phase::Held
    }

    fn record_failed_reserve(&mut self, now: BootTime, sent: BootTime, reply: OrderReply) {
        if reply == OrderReply::Missing {
            let latest = now.after(self.limits.max_lateness);
            // One release follows the latest time at which the order may be carried out.
            let until = latest.after(self.limits.recheck);
            self.doubt_end = self.doubt_end.max(Some(until));
            self.extend_kept(sent, latest);
        }
        if self.phase == Phase::Taking {
            self.end(now);
        } else {
            self.next_order = now.after(self.limits.retry);
        }
    }

    /// Counts a renewal without an answer, which may be carried out until `latest`. It keeps the
    /// memory only if it is carried out before the engine drops it.
    fn extend_kept(&mut self, sent: BootTime, latest: BootTime) {
        let kept = self.kept_until.filter(|until| sent < *until);
        if let Some(until) = kept {
            self.kept_until = Some(until.min(latest).after(self.limits.hold));
        }
    }

    /// Renewing memory that was dropped would reserve it anew for a request that the engine has cut
    /// off. Until that is certain, the engine tells by the request's answer whether it was.
    fn is_lost(&self, now: BootTime) -> bool {
        let is_dropped = self.kept_until.is_none_or(|until| now >= until);
        is_dropped || !self.is_used && now >= self.max_idle_end()
    }

    /// When the next renewal is due; the last one of unused memory as late as possible.
    fn next_renewal(&self, sent: BootTime) -> BootTime {
        let next = sent.after(self.limits.renewal);
        let last = self.last_idle_renewal();
        if self.is_used || sent >= last {
            next
        } else {
            next.min(last)
        }
    }

    /// Whether the memory is not used and held for as long as it may be without.
    fn has_enough(&self, now: BootTime) -> bool {
        let is_last_sent = self.next_order > self.last_idle_renewal();
        !self.is_used && is_last_sent && now >= self.last_idle_renewal()
    }

    fn last_idle_renewal(&self) -> BootTime {
        self.started.after(self.limits.idle_renewals)
    }

    fn max_idle_end(&self) -> BootTime {
        self.started.after(self.limits.max_idle)
    }

    fn may_hold_until(&self) -> Option<BootTime> {
        self.held_until.max(self.doubt_end)
    }
}
