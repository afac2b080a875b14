//! Leases with fencing numbers, for work that needs one doer.
//!
//! A lease is a record in the platform's store that its holder renews by compare-and-swap. No wall
//! clock is compared: the holder counts from the moment it sent the renewal, a successor from the
//! moment it first saw the record stand still, each by its own monotonic clock.

mod lease_holder;
mod lease_record;
mod lease_terms;

pub use lease_holder::LeaseHolder;
pub use lease_record::LeaseRecord;
pub use lease_terms::LeaseTerms;
