//! Routing: choosing the agents to ask for an estimate, and the best of their answers.
//!
//! An entry keeps no table of loads. It asks a few agents at the moment of the decision, so that
//! stale load reports cannot send all entries to the same backend server.

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
