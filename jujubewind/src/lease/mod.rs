//! Leases with fencing tokens, for work that only one process may do at a time.
//!
//! A lease is a record in the platform's store that its holder renews by compare-and-swap. Wall
//! clocks are never compared: the holder measures from the time it sent the renewal, and a
//! successor from the time it first saw the unchanged record, each by its own monotonic clock.

mod lease_holder;
mod lease_record;
mod lease_terms;

pub use lease_holder::LeaseHolder;
pub use lease_record::LeaseRecord;
pub use lease_terms::LeaseTerms;
