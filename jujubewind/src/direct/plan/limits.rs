//! The figures of placing and queueing.

use crate::types::Millis;

/// The share of a pause that a pass may take, in thousandths; the rest covers what other entries send at
/// the same moment and the way to the caller.
pub const PAUSE_SHARE: u64 = 800;
/// What may wait to be read at an engine where nobody writes.
pub const CALM_ROOM: Millis = Millis(900);
/// The most engines that read parts for another one: the platform's bound on helpers.
pub const MOST_HELPERS: usize = 16;
/// The shortest part worth a helper: about a pass without reading.
pub const LEAST_PART: Millis = Millis(40);
/// What each further engine adds to the cost of a placement: its share of a pass that begins late.
pub const PART_COST: Millis = Millis(30);
/// What a placement costs that makes an engine tight, or reads where it is tight.
pub const TIGHT_COST: Millis = Millis(30);
/// What a placement costs for each engine in another failure domain: the way there.
pub const FAR_COST: Millis = Millis(5);
/// A pause up to which an engine counts as tight: streams that are read as they are written.
pub const TIGHT_PAUSE: Millis = Millis(300);
/// The share of an engine's free memory, in thousandths, that one prompt may set aside: the rest is for what
/// other entries send meanwhile.
pub const TICKET_SHARE: u64 = 900;
/// The share of its callers' patience, in thousandths, after which a waiting request is refused, so that
/// they can turn elsewhere in time.
pub const WAIT_SHARE: u64 = 800;
/// The share of its callers' patience, in thousandths, within which the first token must come.
pub const READ_SHARE: u64 = 900;
/// The part of the longest answer that is expected, in thousandths, as for admitted work at an agent.
pub const ANSWER_SHARE: u64 = 500;
/// The share of its worth, in thousandths, that a request may disturb when it arrives; it grows to all of it
/// while the time runs out in which its aim can still be met.
pub const FORCE_SHARE: u64 = 500;
/// The longest time to the first token of a prompt for which other engines set memory aside: memory that no
/// request has used for nine seconds counts as lost, and it is used from the first token on.
pub const TICKET_READ: Millis = Millis(6_000);
/// What a request is worth that is served after its aim, as a part of its full worth.
pub const LATE_PART: u64 = 4;
/// Requests at a plain backend server for each of its slots, beyond which more wait at the entry.
pub const PLAIN_DEPTH: u32 = 2;
/// The least time to come back after a refusal.
pub const LEAST_RETRY: Millis = Millis(200);
/// The longest time to come back after a refusal.
pub const LONGEST_RETRY: Millis = Millis(3_000);
/// Tokens of a prompt that put its turn off by a millisecond. Reading takes longer than in proportion to the
/// length, so of those that wait the shorter ones deliver more in the time that there is.
pub const LENGTH: u64 = 100;
/// What each slot that is still empty adds to the cost of placing a short stream: all of them together less than
/// the reading of one more prompt, so that the wait decides first.
pub const EMPTY_SLOT: Millis = Millis(2);
/// One slot in this many is left for what other entries send at the same moment.
pub const SLOT_RESERVE: u32 = 8;
/// What each of these slots adds to the cost of placing a short stream: about the reading of a prompt.
pub const LAST_SLOT: Millis = Millis(20);
/// How long reading takes beside writing, in thousandths of the time that it takes alone.
pub const READ_SLOWER: u64 = 1_250;
