//! The rank of an attempt in the queue.

use super::Order;
use super::Work;
use crate::types::Class;

/// The inputs of a rank.
#[derive(Clone, Copy, Debug)]
pub struct RankInputs {
    /// The request class.
    pub class: Class,
    /// Remaining prefill.
    pub prefill: Work,
    /// Engine time still needed in total.
    pub remaining: Work,
    /// Time left until the deadline.
    pub time_left: Work,
    /// Time since admission.
    pub waited: Work,
    /// The fair-share weight of the organisation, in thousandths.
    pub weight: u64,
    /// The arrival number.
    pub arrival: u64,
}

/// A rank; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    score: u64,
    arrival: u64,
}

/// The share of the time waited that aging subtracts, in thousandths.
const AGING_PERMILLE: u64 = 100;

impl Rank {
    /// Computes the rank under `order`.
    #[must_use]
    pub fn new(order: Order, inputs: &RankInputs) -> Self {
        let weighted = inputs
            .prefill
            .scaled(inputs.weight)
            .scaled(class_weight(inputs));
        let score = match order {
            Order::Arrival => 0,
            Order::Shortest => weighted.get(),
            Order::Aging => weighted
                .saturating_sub(inputs.waited.scaled(AGING_PERMILLE))
                .get(),
            Order::Deadline => inputs.time_left.scaled(class_weight(inputs)).get(),
            Order::Laxity => laxity_score(weighted, inputs).get(),
        };
        Self {
            score,
            arrival: inputs.arrival,
        }
    }

    /// The priority for the engine: the magnitude of the score; the lowest is served first.
    #[must_use]
    pub fn priority(self) -> u8 {
        u8::try_from(self.score.checked_ilog2().map_or(0, |log| log + 1)).unwrap_or(u8::MAX)
    }

    /// Whether this rank is so much worse than `other` that preemption is worth its cost.
    #[must_use]
    pub fn yields_to(self, other: Self) -> bool {
        self.score / 4 > other.score
    }
}

/// The weight of the class in thousandths; batch work close to its deadline counts as interactive.
fn class_weight(inputs: &RankInputs) -> u64 {
    match inputs.class {
        Class::Urgent => 250,
        Class::Batch if inputs.time_left.get() > inputs.remaining.get().saturating_mul(4) => 16_000,
        Class::Interactive | Class::Batch => 1_000,
    }
}

fn laxity_score(work: Work, inputs: &RankInputs) -> Work {
    if inputs.time_left <= inputs.remaining {
        return Work::ZERO;
    }
    let slack = inputs.time_left.saturating_sub(inputs.remaining).get();
    work.scaled(slack.saturating_mul(1_000) / inputs.time_left.get())
}
