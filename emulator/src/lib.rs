//! Stand-ins for the systems around jujubewind: engines, plain services and the platform.

pub mod engine;
pub mod experiment;
