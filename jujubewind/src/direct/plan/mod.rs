//! Placement of requests: on which server, when, and with how many helpers.
//!
//! The expected load alternates bursts of long prompts with bursts of short ones, near the capacity
//! of the fleet. An engine prefills and decodes in the same passes, so prefill on an engine delays
//! every request that decodes there. A prompt is therefore split into parts that keep those
//! requests within their `max_gap`, and is queued at the entry until engines have room for the
//! parts.

mod candidate;
mod engine_plan;
mod helper;
mod job;
mod limits;
mod placement;
mod plain_plan;
mod preference;
mod queue;
mod scored;
mod spread;

pub use candidate::Candidate;
pub use engine_plan::EnginePlan;
pub use helper::Helper;
pub use job::Domains;
pub use job::Job;
pub use limits::INITIAL_DISRUPTION_PERMILLE;
pub use limits::LATE_VALUE_DIVISOR;
pub use limits::MAX_RETRY_DELAY;
pub use limits::MIN_RETRY_DELAY;
pub use limits::SHARED_PREFILL_PERMILLE;
pub use placement::Placement;
pub use plain_plan::place_plain;
pub use preference::Preference;
pub use preference::Preferences;
pub use queue::Queue;
pub use spread::Spread;
