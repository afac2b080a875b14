//! The place of one attempt in the order of work.

use super::Order;
use super::Work;
use crate::types::Class;

/// What a rank depends on.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// The class of work.
    pub class: Class,
    /// Prefill still to do.
    pub work: Work,
    /// All engine time still needed.
    pub need: Work,
    /// Time left to the request.
    pub left: Work,
    /// Time since it came.
    pub waited: Work,
    /// How heavily the organisation's work counts, in thousandths.
    pub weight: u64,
    /// The order of arrival.
    pub arrival: u64,
}

/// A rank; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    score: u64,
    arrival: u64,
}

/// The part of the time waited that aging takes off, in thousandths.
const AGING: u64 = 100;

impl Rank {
    /// Ranks by `order`.
    #[must_use]
    pub fn new(order: Order, facts: &Facts) -> Self {
        let weighted = facts.work.scaled(facts.weight).scaled(class_weight(facts));
        let score = match order {
            Order::Arrival => 0,
            Order::Shortest => weighted.get(),
            Order::Aging => weighted.saturating_sub(facts.waited.scaled(AGING)).get(),
            Order::Deadline => facts.left.scaled(class_weight(facts)).get(),
            Order::Laxity => lax(weighted, facts).get(),
        };
        Self {
            score,
            arrival: facts.arrival,
        }
    }

    /// The engine's priority: the magnitude of the score, the least served first.
    #[must_use]
    pub fn priority(self) -> u8 {
        u8::try_from(self.score.checked_ilog2().map_or(0, |log| log + 1)).unwrap_or(u8::MAX)
    }

    /// Whether this rank is worse than `other` by so much that a pause is worth its cost.
    #[must_use]
    pub fn yields_to(self, other: Self) -> bool {
        self.score / 4 > other.score
    }
}

/// Weights in thousandths; batch work counts as interactive once it has to hurry.
fn class_weight(facts: &Facts) -> u64 {
    match facts.class {
        Class::Urgent => 250,
        Class::Batch if facts.left.get() > facts.need.get().saturating_mul(4) => 16_000,
        Class::Interactive | Class::Batch => 1_000,
    }
}

fn lax(work: Work, facts: &Facts) -> Work {
    if facts.left <= facts.need {
        return Work::ZERO;
    }
    let slack = facts.left.saturating_sub(facts.need).get();
    work.scaled(slack.saturating_mul(1_000) / facts.left.get())
}
