//! What a stream writes at once.

use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use hyper::rt::Write;
use jujubewind::http::FairStream;

const BODY_BYTES: usize = 4 * 1_024 * 1_024;
const MAX_WRITE_BYTES: usize = 16 * 1_024;

/// Takes all that is written, as buffers do that grow.
#[derive(Debug, Default)]
struct Greedy;

impl Write for Greedy {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

fn write(send: impl FnOnce(Pin<&mut FairStream<Greedy>>, &mut Context<'_>) -> Poll<Result<usize>>) {
    let mut stream = FairStream::new(Greedy);
    let mut context = Context::from_waker(Waker::noop());

    let written = send(Pin::new(&mut stream), &mut context);

    assert!(matches!(written, Poll::Ready(Ok(count)) if (1..=MAX_WRITE_BYTES).contains(&count)));
}

/// The buffer below took a copy of the whole body, and stayed as large.
#[test]
fn large_body_is_written_in_parts() {
    let body = vec![0; BODY_BYTES];

    write(|stream, context| stream.poll_write(context, &body));
}

#[test]
fn large_body_behind_a_head_is_written_in_parts() {
    let body = vec![0; BODY_BYTES];

    write(|stream, context| {
        let parts = [IoSlice::new(&[]), IoSlice::new(&body)];
        stream.poll_write_vectored(context, &parts)
    });
}

/// Without vectored writes, bodies are copied into one buffer before they are written.
#[test]
fn bodies_are_not_copied_into_one_buffer() {
    let stream = FairStream::new(Greedy);

    assert!(stream.is_write_vectored());
}
