//! A body that has arrived as a whole.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::BodyReader;
use crate::memory::Charge;

/// What clones of a body share.
#[derive(Debug, Default)]
struct Shared {
    segments: Vec<Vec<u8>>,
    length: usize,
    /// `None` if the body is not counted.
    charge: Option<Charge>,
}

/// A whole body in segments; clones share them. As a [`Body`], it is sent segment by segment.
#[derive(Clone, Debug, Default)]
pub struct WholeBody {
    shared: Arc<Shared>,
    /// The segments that were sent.
    sent: usize,
}

/// One segment of a body.
struct Segment {
    shared: Arc<Shared>,
    index: usize,
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.shared.segments[self.index]
    }
}

impl WholeBody {
    pub(super) fn new(segments: Vec<Vec<u8>>, length: usize, charge: Charge) -> Self {
        let shared = Shared {
            segments,
            length,
            charge: Some(charge),
        };
        Self {
            shared: Arc::new(shared),
            sent: 0,
        }
    }

    /// A body in one piece, counted with `charge`.
    #[must_use]
    pub fn counted(bytes: Vec<u8>, charge: Charge) -> Self {
        let length = bytes.len();
        let segments = if bytes.is_empty() {
            Vec::new()
        } else {
            vec![bytes]
        };
        Self::new(segments, length, charge)
    }

    /// The length in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shared.length
    }

    /// Whether it has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shared.length == 0
    }

    /// The bytes in pieces.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.shared.segments.iter().map(Vec::as_slice)
    }

    /// Drops the bytes and returns their charge, if they are counted and no clone has them.
    #[must_use]
    pub fn into_charge(self) -> Option<Charge> {
        let shared = Arc::try_unwrap(self.shared).ok()?;
        shared.charge
    }

    /// Reads the bytes.
    #[must_use]
    pub const fn reader(&self) -> BodyReader<'_> {
        BodyReader::new(self)
    }

    /// The bytes of one segment; none after the last.
    pub(super) fn segment(&self, index: usize) -> &[u8] {
        self.shared.segments.get(index).map_or(&[], Vec::as_slice)
    }

    /// A copy of the bytes in one piece, which is not counted.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        self.shared.segments.concat()
    }
}

impl From<Vec<u8>> for WholeBody {
    fn from(bytes: Vec<u8>) -> Self {
        let shared = Shared {
            length: bytes.len(),
            segments: if bytes.is_empty() {
                Vec::new()
            } else {
                vec![bytes]
            },
            charge: None,
        };
        Self {
            shared: Arc::new(shared),
            sent: 0,
        }
    }
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.is_end_stream() {
            return Poll::Ready(None);
        }
        let segment = Segment {
            shared: self.shared.clone(),
            index: self.sent,
        };
        self.sent += 1;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(segment)))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent == self.shared.segments.len()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.shared.segments[self.sent..].iter().map(Vec::len);
        SizeHint::with_exact(rest.sum::<usize>() as u64)
    }
}
