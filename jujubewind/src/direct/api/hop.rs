//! Hop-by-hop headers.

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderName;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

/// Announces how long a peer keeps an idle connection open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// The non-standard form of `Connection` that some callers send to a proxy.
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
/// Asks for `100 Continue` before the body is sent.
const EXPECT: HeaderName = HeaderName::from_static("expect");

/// Returns the headers to forward, without the hop-by-hop ones; `Content-Length` is set again for
/// each hop.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |name: &HeaderName| {
        !is_hop_by_hop(name) && !named.iter().any(|other| name == other.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| is_forwarded(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    let hop = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
        EXPECT,
    ];
    hop.contains(name)
}

/// Whether a response has a length or chunks; otherwise it ends with its connection.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
