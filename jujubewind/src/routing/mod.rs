//! Choosing where a request runs: whom to ask, and which answer to take.
//!
//! An entry keeps no table of loads. It asks two or three agents at the moment of the decision,
//! so no stale report can send every entry to the same backend server.

mod candidate;
mod group;
mod offer;
mod rendezvous;
mod request;
mod router;
mod settings;

pub use candidate::Candidate;
pub use group::Group;
pub use group::Step;
pub use offer::Offer;
pub use request::Request;
pub use router::Router;
pub use settings::Settings;
