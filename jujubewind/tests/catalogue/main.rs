//! Tests of the catalogue.

mod differences;
mod examples;
mod fixture;
mod fleet;
mod following;
mod lookups;
mod publishing;
mod refusals;
mod starting;
mod store;
