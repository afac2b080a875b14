//! Load generator that sends requests to an entry and checks every answer.

mod attempt;
mod length_mix;
mod load_plan;
mod outcome;
mod report;

pub use attempt::Target;
pub use length_mix::LengthMix;
pub use load_plan::LoadPlan;
pub use load_plan::PlannedRequest;
pub use load_plan::run;
pub use outcome::Failure;
pub use outcome::Outcome;
pub use report::Report;
