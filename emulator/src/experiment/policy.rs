//! The compared policies.

use jujubewind::scheduler::Order;
use jujubewind::scheduler::Settings;
use jujubewind::types::Millis;
use jujubewind::types::Tokens;

/// The KV memory of an engine.
pub const CAPACITY: Tokens = Tokens(400_000);

/// The prompt length at which the split baselines separate short from long prompts.
pub const SPLIT_LENGTH: Tokens = Tokens(32_768);

/// The batch slots of an engine.
const BATCH_SLOTS: usize = 64;

/// The lifetime of reservations: longer than any run, as no component fails in these runs.
const RESERVATION_TTL: Millis = Millis(100_000_000);

jujubewind::label! {
    /// A policy that decides where and when requests run.
    pub enum Policy {
        /// The shipped policy: quotes from a few agents; shortest remaining prefill with laxity.
        QuotesLaxity = "quotes+laxity",
        /// Round robin over the engines, first come first served.
        RoundRobin = "round-robin+fcfs",
        /// The engine with the fewest requests in reports up to a second old, first come first
        /// served.
        LeastLoaded = "least-loaded+fcfs",
        /// Dedicated engines for short prompts; in each pool the exact shortest queue.
        LengthPartition = "length-partition",
        /// As `LengthPartition`, but above a threshold the engines for long prompts also take short
        /// ones and run them first, with preemption and resumption.
        ThresholdResume = "threshold-resume",
    }
}

impl Policy {
    /// Returns the scheduler settings under this policy.
    #[must_use]
    pub fn settings(self) -> Settings {
        let quotes = Settings {
            ttl: RESERVATION_TTL,
            ..Settings::for_engine(CAPACITY, BATCH_SLOTS)
        };
        let baseline = Settings {
            short_memory: Tokens::ZERO,
            short_slots: 0,
            prefill_window: usize::MAX,
            long_window: usize::MAX,
            max_pauses: 0,
            order: Order::Arrival,
            fair_share: false,
            admission: false,
            ..quotes.clone()
        };
        match self {
            Self::QuotesLaxity => quotes,
            Self::RoundRobin | Self::LeastLoaded | Self::LengthPartition => baseline,
            Self::ThresholdResume => Settings {
                order: Order::Shortest,
                max_pauses: 3,
                ..baseline
            },
        }
    }

    /// Returns whether the fleet is split by prompt length.
    #[must_use]
    pub const fn splits(self) -> bool {
        matches!(self, Self::LengthPartition | Self::ThresholdResume)
    }
}
