//! What every entry has under way at every backend server.
//!
//! An entry knows its own requests exactly and hears of its peers' as one row for each server. A row holds
//! the whole state, so one that is lost or comes late does no lasting harm.

mod assignment;
mod digest;
mod job_id;
mod ledger;
mod limits;
mod row;
mod server_load;
mod stamp;

pub use assignment::Assignment;
pub use digest::Digest;
pub use job_id::JobId;
pub use ledger::Ledger;
pub use row::Row;
pub use server_load::ServerLoad;
pub use stamp::Stamp;
