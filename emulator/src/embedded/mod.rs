//! The whole system in one process: the platform, engines, a plain service, agents and entries.
//!
//! Each component runs on its own thread and communicates over loopback, as separate processes do.

mod catalogue;
mod client;
mod daemon_thread;
mod demo;
mod error;
mod guide;
mod options;
mod summary;
mod system;

pub use catalogue::KEY;
pub use catalogue::MODEL;
pub use demo::Demo;
pub use error::Error;
pub use error::Result;
pub use guide::Guide;
pub use options::SystemOptions;
pub use summary::EngineMemory;
pub use summary::Summary;
pub use system::System;
