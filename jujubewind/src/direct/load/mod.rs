//! The load that every entry puts on every backend server.
//!
//! An entry knows its own requests exactly and receives its peers' as one row for each server. A
//! row is the full state rather than a delta, so the next one corrects a lost or delayed row.

mod assignment;
mod digest;
mod inflow;
mod job_id;
mod ledger;
mod limits;
mod row;
mod server_load;
mod stamp;

use inflow::Inflow;

pub use assignment::Assignment;
pub use digest::Digest;
pub use job_id::JobId;
pub use ledger::Ledger;
pub use row::Row;
pub use server_load::ServerLoad;
pub use stamp::Stamp;
