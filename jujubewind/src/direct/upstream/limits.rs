//! Time limits of connections to backend servers.

use crate::types::Millis;

/// How long opening a connection may take: several round trips between failure domains.
pub const CONNECT_TIMEOUT: Millis = Millis(400);
/// How long an idle connection is reused if the backend server announces no timeout.
pub const DEFAULT_IDLE_TIMEOUT: Millis = Millis(4_000);
/// Subtracted from the announced idle timeout, so that no request is sent while the server closes.
pub const IDLE_MARGIN: Millis = Millis(700);
/// The longest idle time of a connection that is reused for a request that may run only once.
pub const MAX_ONCE_IDLE: Millis = Millis(300);
/// How long sent data may stay unacknowledged before the connection is closed, except for the last
/// attempt of a request.
pub const TCP_USER_TIMEOUT: Millis = Millis(3_000);
/// The longest head of a response, and the most bytes read ahead of a body.
pub const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// The most bytes that a server may send before the head of its response is complete, with those of
/// the body that are read in the same go.
pub const MAX_BYTES_BEFORE_HEAD: usize = 256 * 1_024;
/// Most idle connections kept to one backend server.
pub const MAX_IDLE_CONNECTIONS: usize = 24;
