//! Policies of routing and scheduling compared in virtual time.
//!
//! Routers, schedulers and engine cores exchange events with link delays; every run follows from
//! its seed. Plain services are left out: they share nothing with the engines.

mod arrival;
mod bounds;
mod dispatch;
mod fleet;
mod grouping;
mod links;
mod number;
mod outcome;
mod plot;
mod policy;
mod pool;
mod queue;
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
