//! HTTP request with its complete body.

use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use serde::de::DeserializeOwned;

/// HTTP request with its complete body.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request method.
    pub method: Method,
    /// Path with its leading slash.
    pub path: String,
    /// Query without its question mark.
    pub query: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

impl Call {
    /// Reads the complete request.
    ///
    /// # Errors
    /// The connection failed.
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

    /// Parses the body as JSON.
    ///
    /// # Errors
    /// The body is not valid JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }

    /// Value of a header, if it is present and text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Number in the query parameter `name`; zero if it is missing or not a number.
    #[must_use]
    pub fn query_u64(&self, name: &str) -> u64 {
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
