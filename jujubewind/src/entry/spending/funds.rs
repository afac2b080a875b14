//! Credit that is set aside for one request.

use crate::credit::IntervalId;
use crate::types::Credit;
use crate::types::EntryId;

/// Credit that one request may use; the unused part is refunded.
#[derive(Debug, PartialEq, Eq)]
pub struct Funds {
    pub(super) entry: EntryId,
    pub(super) interval: IntervalId,
    pub(super) amount: Credit,
}
