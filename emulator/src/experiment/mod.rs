//! A discrete-event simulation that compares routing and scheduling policies in virtual time.
//!
//! Routers, schedulers and engine cores exchange events with link delays; every run is determined
//! by its seed. Plain services are not simulated, as they share no resources with the engines.

mod arrival;
mod bounds;
mod convert;
mod dispatch;
mod event_queue;
mod fleet;
mod fleet_split;
mod group_dispatch;
mod links;
mod outcome;
mod plot;
mod policy;
mod report;
mod run;
mod simulation;
mod site;
mod worker;
mod workload;

pub use arrival::Arrival;
pub use bounds::Bounds;
pub use outcome::Outcome;
pub use plot::plot;
pub use policy::Policy;
pub use report::Decade;
pub use report::Report;
pub use run::Run;
pub use simulation::simulate;
pub use site::Site;
pub use workload::Workload;
