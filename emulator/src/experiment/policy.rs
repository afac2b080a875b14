//! The policies compared.

use jujubewind::scheduler::Order;
use jujubewind::scheduler::Settings;
use jujubewind::types::Millis;
use jujubewind::types::Tokens;

/// Memory of an engine, in tokens of KV cache.
pub const CAPACITY: Tokens = Tokens(400_000);

/// The length from which baselines treat a prompt as long.
pub const LONG: Tokens = Tokens(32_768);

/// Batch slots of an engine.
const SLOTS: usize = 64;

/// Longer than any run, as nothing fails in these runs.
const TTL: Millis = Millis(100_000_000);

jujubewind::label! {
    /// Who decides where and when requests run.
    pub enum Policy {
        /// Quotes from a few agents; shortest remaining prefill with laxity.
        QuotesLaxity = "quotes+laxity",
        /// Each engine in turn, first come first served.
        RoundRobin = "round-robin+fcfs",
        /// The engine with the fewest requests in reports a second old, first come first served.
        LeastLoaded = "least-loaded+fcfs",
        /// Engines of their own for short prompts; in each pool the exact shortest queue.
        LengthPartition = "length-partition",
        /// As the partition, but engines for long prompts help with short ones above a threshold
        /// and put them first, with preemption and resumption.
        ThresholdResume = "threshold-resume",
    }
}

impl Policy {
    /// The engines' settings under this policy.
    #[must_use]
    pub fn settings(self) -> Settings {
        let ours = Settings {
            ttl: TTL,
            ..Settings::for_engine(CAPACITY, SLOTS)
        };
        let plain = Settings {
            short_memory: Tokens::ZERO,
            short_slots: 0,
            prefill_window: usize::MAX,
            long_window: usize::MAX,
            max_pauses: 0,
            order: Order::Arrival,
            fair_share: false,
            admission: false,
            ..ours.clone()
        };
        match self {
            Self::QuotesLaxity => ours,
            Self::RoundRobin | Self::LeastLoaded | Self::LengthPartition => plain,
            Self::ThresholdResume => Settings {
                order: Order::Shortest,
                max_pauses: 3,
                ..plain
            },
        }
    }

    /// Whether the fleet is split by length.
    #[must_use]
    pub const fn splits(self) -> bool {
        matches!(self, Self::LengthPartition | Self::ThresholdResume)
    }
}
