//! The entry process: serves callers' requests from arrival to the final response.

mod agent_clients;
mod api;
mod control;
mod daemon;
mod driver;
mod explanation;
mod failure;
mod job;
mod peer;
pub mod request;
mod reservation;
mod response_event;
mod service;
mod spending;
mod status;
mod usage;

pub use daemon::run;
pub use explanation::CandidateEstimate;
pub use explanation::Destination;
pub use explanation::Estimate;
pub use explanation::Explanation;
pub use failure::Failure;
pub use failure::Ran;
pub use job::Job;
pub use status::EntryStatus;
pub use status::MemberStatus;
