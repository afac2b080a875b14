//! Parameters of placement and queueing.

use crate::types::Millis;

/// The share of `max_gap` that a pass may take, in thousandths; the rest covers concurrent requests
/// from other entries and the network to the client.
pub const GAP_PERMILLE: u64 = 800;
/// The longest prefill backlog of an engine where no request with a `max_gap` decodes.
pub const IDLE_PREFILL_ROOM: Millis = Millis(900);
/// The most helpers for a prompt, which the platform limits.
pub const MAX_HELPERS: usize = 16;
/// The shortest part worth a helper; about a pass without prefill.
pub const MIN_PART: Millis = Millis(40);
/// The cost of each engine in a placement, as its pass may start late.
pub const PART_COST: Millis = Millis(30);
/// The cost of mixing latency-sensitive and other requests on an engine.
pub const MIXING_COST: Millis = Millis(30);
/// The cost of each engine in another failure domain, for the network latency.
pub const CROSS_DOMAIN_COST: Millis = Millis(5);
/// The cost of an engine that asked a peer for a pause.
pub const STRAINED_COST: Millis = Millis(300);
/// The `max_gap` up to which a request is latency-sensitive: streams that people read as they are
/// generated.
pub const LATENCY_SENSITIVE_GAP: Millis = Millis(300);
/// The share of an engine's free memory, in thousandths, that one prompt may reserve when it spans
/// several engines; the rest is left for concurrent requests from other entries.
pub const RESERVABLE_PERMILLE: u64 = 900;
/// The share of the client timeout, in thousandths, after which a queued request is refused, so
/// that the client can retry elsewhere in time.
pub const QUEUE_TIME_PERMILLE: u64 = 800;
/// The share of the client timeout, in thousandths, within which the first token must arrive.
pub const FIRST_TOKEN_PERMILLE: u64 = 900;
/// The expected share of the longest answer, in thousandths; agents assume the same for admitted
/// requests.
pub const EXPECTED_OUTPUT_PERMILLE: u64 = 500;
/// The share of its own value, in thousandths, that a request may disrupt when it arrives; it grows
/// to the full value as the time runs out in which its latency target can be met.
pub const INITIAL_DISRUPTION_PERMILLE: u64 = 500;
/// The longest time to the first token of a prompt for which helpers reserve memory: a reservation
/// that no request uses for nine seconds is dropped, and it is used from the first token on.
pub const MAX_RESERVED_PREFILL: Millis = Millis(6_000);
/// Divides the value of a request that misses its latency target.
pub const LATE_VALUE_DIVISOR: u64 = 4;
/// The most requests at a plain backend server for each of its slots; further ones are queued at
/// the entry.
pub const REQUESTS_PER_SLOT: u32 = 2;
/// The shortest retry delay of a refusal.
pub const MIN_RETRY_DELAY: Millis = Millis(200);
/// The longest retry delay of a refusal.
pub const MAX_RETRY_DELAY: Millis = Millis(3_000);
/// Prompt tokens that move a queued request's effective deadline back by a millisecond. Prefill
/// time grows faster than the prompt's length, so serving shorter prompts first delivers more in
/// the same time.
pub const TOKENS_PER_MILLI: u64 = 100;
/// The cost of each empty slot when placing a latency-sensitive stream; all slots together cost
/// less than the prefill of one more prompt, so that the wait decides first.
pub const EMPTY_SLOT_COST: Millis = Millis(2);
/// One slot in this many is reserved for concurrent requests from other entries.
pub const RESERVED_SLOT_DIVISOR: u32 = 8;
/// The cost of each reserved slot when placing a latency-sensitive stream; about the prefill of a
/// short prompt.
pub const RESERVED_SLOT_COST: Millis = Millis(20);
/// The range of the cost of a server that is left to other entries, in multiples of its work that does
/// not show yet: wide enough that few of the entries that place requests at the same time choose the
/// same server.
pub const SPREAD_WIDTH: u64 = 24;
/// The least such range, which decides among servers that are alike: an entry that has heard of no
/// work does not choose the same one as all others.
pub const MIN_SPREAD: Millis = Millis(2);
/// The greatest such range: a longer wait that shows counts more than whose server it is.
pub const MAX_SPREAD: Millis = Millis(500);
/// The duration of prefill beside decoding requests, in thousandths of that on an idle engine.
pub const SHARED_PREFILL_PERMILLE: u64 = 1_250;
