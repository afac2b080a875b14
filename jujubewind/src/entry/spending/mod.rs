//! Engine time credit of catalogue entries, drawn from the platform's store before it is spent.

mod account;
mod day;
mod funds;
mod price;
mod spending_task;

pub use funds::Funds;
pub use price::price;
pub use spending_task::Spending;
