//! Reads a whole body.

use std::io::Read;
use std::io::Result;

use super::WholeBody;

/// A reader of the segments of a body.
#[derive(Debug)]
pub struct BodyReader<'a> {
    body: &'a WholeBody,
    segment: usize,
    offset: usize,
}

impl<'a> BodyReader<'a> {
    pub(super) const fn new(body: &'a WholeBody) -> Self {
        Self {
            body,
            segment: 0,
            offset: 0,
        }
    }
}

impl Read for BodyReader<'_> {
    fn read(&mut self, buf: &mut [u8]) -> Result<usize> {
        let mut rest = &self.body.segment(self.segment)[self.offset..];
        let count = rest.read(buf)?;
        self.offset += count;
        if rest.is_empty() {
            (self.segment, self.offset) = (self.segment + 1, 0);
        }
        Ok(count)
    }
}
