//! Tests of what processes coordinate through the platform's store: claims, leases, fencing and
//! credit.

mod batch;
mod claim_cases;
mod claim_search;
mod claim_world;
mod credit;
mod fake_store;
mod fencing;
mod lease;
mod seeds;
