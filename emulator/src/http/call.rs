//! One HTTP request, read whole.

use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use serde::de::DeserializeOwned;

/// One HTTP request, read whole.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path, with its leading slash.
    pub path: String,
    /// The query, without its question mark.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Reads a request to its end.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn read(request: Request<Incoming>) -> hyper::Result<Self> {
        let (head, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Self {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body,
        })
    }

    /// The body as JSON.
    ///
    /// # Errors
    /// It is no JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }

    /// A header's value, if it is there and text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The number that the query gives for `name`; zero if there is none.
    #[must_use]
    pub fn number(&self, name: &str) -> u64 {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .find_map(|(_, value)| value.parse().ok())
            .unwrap_or(0)
    }
}
