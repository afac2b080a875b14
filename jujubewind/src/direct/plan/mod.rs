//! Where a request goes, when, and with how many helpers.
//!
//! The load that these decisions answer: bursts of long prompts and bursts of short ones by turns, near
//! what the fleet can bear. An engine reads prompts and writes answers in the same passes, so whatever is
//! read at an engine is a pause for all that write there. A prompt is therefore cut into parts that fit
//! into the pauses of those who write where the parts are read, and waits at the entry until there is room.

mod candidate;
mod engine_plan;
mod helper;
mod job;
mod limits;
mod placement;
mod plain_plan;
mod queue;

pub use candidate::Candidate;
pub use engine_plan::EnginePlan;
pub use helper::Helper;
pub use job::Job;
pub use limits::FORCE_SHARE;
pub use limits::LATE_PART;
pub use limits::LEAST_RETRY;
pub use limits::LONGEST_RETRY;
pub use limits::READ_SLOWER;
pub use placement::Placement;
pub use plain_plan::place_plain;
pub use queue::Queue;
