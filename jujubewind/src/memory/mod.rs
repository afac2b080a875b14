//! What a process holds for its callers, as a share of the memory that it may take.

mod account;
mod charge;
mod process_memory;
mod purpose;

pub use account::Account;
pub use charge::Charge;
pub use process_memory::ProcessMemory;
pub use purpose::Purpose;
