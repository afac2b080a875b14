//! Scheduling of requests on one engine: order, memory, batch slots and preemption.

mod action;
mod backlog;
mod cost;
mod dispatch_pass;
mod ended_attempts;
mod estimate;
mod forecast;
mod job;
mod ledger;
mod listed_sequence;
mod maintenance;
mod order;
mod phase;
mod rank;
#[expect(clippy::module_inception, reason = "a file for each type")]
mod scheduler;
mod settings;
mod shares;
mod state;
mod task;
mod work;

pub use action::Action;
pub use cost::Cost;
pub use estimate::Estimate;
pub use job::Job;
pub use ledger::Discrepancies;
pub use ledger::Ledger;
pub use ledger::ReservationState;
pub use listed_sequence::ListedSequence;
pub use order::Order;
pub use phase::Phase;
pub use scheduler::PART_TTL;
pub use scheduler::Scheduler;
pub use settings::Settings;
pub use work::Work;

use crate::refusal::Refusal;

/// A decision of the scheduler, or the refusal that is sent to the entry.
pub type Result<T> = std::result::Result<T, Refusal>;
