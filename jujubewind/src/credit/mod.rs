//! Spending inside each catalogue entry's limits, by escrow.
//!
//! Credit is drawn from a record in the platform's store before it is spent. The record never gives
//! out more than the limit, so no history of crashes, outages and lost answers can overspend; what
//! they can do is waste what a process had drawn: less than one slice and one request's need.

mod account;
mod escrow;
mod interval;
mod transfer;

pub use account::Account;
pub use account::Change;
pub use escrow::Escrow;
pub use escrow::Shortage;
pub use interval::Interval;
pub use interval::IntervalId;
pub use transfer::Direction;
pub use transfer::Transfer;
pub use transfer::Verdict;
