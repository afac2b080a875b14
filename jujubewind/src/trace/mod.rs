//! Reconstructs the history of a request from the logs of several processes.

mod fields;
mod request_outcome;
mod step;
mod timeline;

pub use fields::Fields;
pub use request_outcome::RequestOutcome;
pub use step::Step;
pub use timeline::Timeline;
