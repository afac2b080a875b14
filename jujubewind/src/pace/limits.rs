//! Parameters of backend servers' limits and of the shares in them.

use crate::types::Millis;
use crate::types::RequestRate;

/// The span over which a backend server counts requests, those before it named its limit included.
pub const WINDOW: Millis = Millis(4_000);
/// The precision at which the requests of the last window are remembered.
pub const SLOT: Millis = Millis(250);
/// The processes that may send to a server whose limit is under one request a second; a higher limit
/// has as many more as whole requests a second.
pub const MIN_HOLDERS: u64 = 3;
/// What all entries together still send to a server that takes nothing, so that they notice when
/// its limit ends.
pub const MIN_RATE: RequestRate = RequestRate::from_milli(100);
/// The share with which an engine may keep reserved memory, as each renewal is a request.
pub const MIN_HELPER_RATE: RequestRate = RequestRate::from_milli(2_000);
/// The responses in a row without a limit after which a server's limit has ended: one may come from
/// before the server named it.
pub const UNLIMITED_RESPONSES: u32 = 2;
