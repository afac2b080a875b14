//! Enforcement of each catalogue entry's spending limits by escrow.
//!
//! A process draws credit from an account in the platform's store before spending it. The account
//! never issues more than the limit, so crashes, outages and lost answers cannot cause
//! overspending. They can only waste what a process had drawn: less than one slice and one
//! request's need.

mod account;
mod escrow;
mod interval;
mod transfer;

pub use account::Account;
pub use account::ChangeStatus;
pub use escrow::Escrow;
pub use escrow::Shortage;
pub use interval::Interval;
pub use interval::IntervalId;
pub use transfer::Direction;
pub use transfer::Transfer;
pub use transfer::TransferStatus;
