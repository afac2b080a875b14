//! What a process holds for its callers, as a share of the memory that it may take.

mod account;
mod blob;
mod charge;
mod held;
mod process_memory;
mod purpose;

pub use account::Account;
pub use blob::Blob;
pub use charge::Charge;
pub use held::Held;
pub use process_memory::ProcessMemory;
pub use purpose::Purpose;
