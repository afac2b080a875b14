//! Tests of the catalogue.

mod examples;
mod fixture;
mod lookups;
mod publishing;
mod refusals;
mod store;
