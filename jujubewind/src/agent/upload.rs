//! Request bodies for a backend server.

use cyper::Body;
use futures::stream;
use hyper::body::Bytes;

/// The bytes that are passed on at once: the connection copies them into a buffer that stays as large.
const PART_BYTES: usize = 16 * 1_024;

/// A body that is passed on in parts; its length has to be announced in the head.
pub(super) fn upload(bytes: Bytes) -> Body {
    let starts = (0..bytes.len()).step_by(PART_BYTES);
    let parts = starts.map(move |start| {
        let end = bytes.len().min(start + PART_BYTES);
        Ok(bytes.slice(start..end))
    });
    Body::stream(stream::iter(parts))
}
