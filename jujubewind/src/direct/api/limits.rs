//! Time limits of one request.

use crate::types::Millis;

/// The `Retry-After` of an entry that has not read its configuration yet.
pub const STARTUP_RETRY_AFTER: Millis = Millis(500);
/// How long a request waits for an entry that has just started to read its configuration.
pub const STARTUP_WAIT: Millis = Millis(400);
/// How often a waiting request checks whether the entry is ready.
pub const STARTUP_POLL_INTERVAL: Millis = Millis(20);
/// The `Retry-After` when a backend server refused the request or could not be reached.
pub const SERVER_RETRY_AFTER: Millis = Millis(300);
/// Most attempts that end without the request having run, the first one included.
pub const MAX_ATTEMPTS: usize = 4;
/// The greatest age of the configuration at which an unknown route or key is reported as such.
pub const MAX_LOOKUP_AGE: Millis = Millis(3_200);
/// The shortest wait for a response before a repeatable call is sent to another backend server.
pub const MIN_RESPONSE_TIMEOUT: Millis = Millis(300);
/// How much longer than twice the predicted time a stream's first event may take, in thousandths of
/// the client timeout. Prefilling a long prompt again would cost more than it saves.
pub const FIRST_EVENT_PERMILLE: u64 = 350;
/// The longest gap between two events of a stream, in thousandths of the client timeout.
pub const EVENT_GAP_PERMILLE: u64 = 600;
/// The first pause before others are asked again to take over a stream that nobody has taken over.
pub const MIN_ASK_PAUSE: Millis = Millis(100);
/// The longest such pause.
pub const MAX_ASK_PAUSE: Millis = Millis(800);
/// The longest response of a plain service, and of an engine that refuses a request.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;
/// The longest response to an order.
pub const MAX_ORDER_RESPONSE_BYTES: usize = 64 * 1_024;
/// How long an engine may take to answer a request to reserve or release memory.
pub const ORDER_TIMEOUT: Millis = Millis(500);
/// The delay before memory is requested from other engines.
pub const RESERVATION_RETRY_DELAY: Millis = Millis(100);
/// The least remaining time with which a request is sent again.
pub const MIN_RETRY_TIME: Millis = Millis(50);
/// How often a reservation checks whether the engine that its request was sent to has left.
pub const DEPARTURE_CHECK_PERIOD: Millis = Millis(200);
/// How often a request without a response checks whether its backend server has left.
pub const ABSENCE_CHECK_PERIOD: Millis = Millis(500);
/// How long after its deadline a stream is closed that its caller has stopped reading: the stream
/// is given this time to end by itself.
pub const READ_MARGIN: Millis = Millis(200);
