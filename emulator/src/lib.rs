//! Emulators of the systems around jujubewind: model engines, plain services and the platform.

pub mod cli;
pub mod datagram_addr;
pub mod embedded;
pub mod engine;
pub mod experiment;
pub mod http;
pub mod load;
pub mod platform;
pub mod reserved_addr;
pub mod service;
