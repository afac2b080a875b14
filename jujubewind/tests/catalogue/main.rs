//! Tests of the catalogue.

mod examples;
mod fixture;
mod lookups;
mod refusals;
