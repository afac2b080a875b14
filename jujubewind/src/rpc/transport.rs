//! The transport of tarpc messages: tasks that own the two directions of a socket.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::Error;
use std::io::ErrorKind;
use std::marker::PhantomData;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use compio::BufResult;
use compio::io::AsyncWriteExt;
use compio::io::BufReader;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use flume::Receiver;
use flume::Sender;
use flume::r#async::RecvStream;
use flume::r#async::SendSink;
use futures::Sink;
use futures::SinkExt;
use futures::Stream;
use futures::StreamExt;
use serde::Serialize;

use super::Room;
use super::exchanged::Arriving;
use super::exchanged::Consequence;
use super::exchanged::Departing;
use super::frame;
use super::frame::Frame;
use super::frame::Result;
use crate::memory::Charge;
use crate::memory::Purpose;

/// Messages that wait for each direction of a socket.
const WAITING_MESSAGES: usize = 1;

/// A message that has arrived, with the charge for its memory.
struct Arrival<In> {
    message: In,
    charge: Option<Charge>,
}

/// An encoded message, with the charge for its memory.
struct Departure {
    bytes: Vec<u8>,
    _charge: Option<Charge>,
}

/// The charges of requests that have arrived, in their order, for whoever handles them.
pub(super) type Charges = Rc<RefCell<VecDeque<Option<Charge>>>>;

/// A connection that sends `Out` and receives `In`.
pub struct Transport<In: 'static, Out> {
    arrivals: RecvStream<'static, Result<Arrival<In>>>,
    departures: SendSink<'static, Departure>,
    charges: Charges,
    room: Room,
    /// The tasks end with the transport.
    _tasks: [JoinHandle<()>; 2],
    /// What is sent is encoded at once, so that no value of it is kept.
    sent: PhantomData<fn(Out)>,
}

impl<In: Arriving + 'static, Out> Transport<In, Out> {
    /// Starts the tasks of a connected socket.
    pub(super) fn new(stream: TcpStream, room: Room) -> Self {
        let (departing, departures) = flume::bounded(WAITING_MESSAGES);
        let (arriving, arrivals) = flume::bounded(WAITING_MESSAGES);
        let writing = write_frames(stream.clone(), departures);
        let reading = read_frames(stream, room.clone(), arriving, departing.clone());
        Self {
            arrivals: arrivals.into_stream(),
            departures: departing.into_sink(),
            charges: Charges::default(),
            room,
            _tasks: [
                compio::runtime::spawn(writing),
                compio::runtime::spawn(reading),
            ],
            sent: PhantomData,
        }
    }

    /// The charges of the requests that are taken from the transport.
    pub(super) fn charges(&self) -> Charges {
        self.charges.clone()
    }
}

impl<In: Arriving, Out> Stream for Transport<In, Out> {
    type Item = Result<In>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<In>>> {
        let arrival = ready!(self.arrivals.poll_next_unpin(cx));
        Poll::Ready(arrival.map(|arrival| {
            let Arrival { message, charge } = arrival?;
            if message.is_request() {
                self.charges.borrow_mut().push_back(charge);
            }
            Ok(message)
        }))
    }
}

impl<In, Out: Departing + Serialize> Sink<Out> for Transport<In, Out> {
    type Error = Error;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.departures.poll_ready_unpin(cx).map_err(closed)
    }

    fn start_send(mut self: Pin<&mut Self>, message: Out) -> Result<()> {
        let departure = self.room.encode(&message)?;
        self.departures.start_send_unpin(departure).map_err(closed)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.departures.poll_flush_unpin(cx).map_err(closed)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.departures.poll_close_unpin(cx).map_err(closed)
    }
}

impl Room {
    /// Encodes a message, or what is sent in its place if there is no room.
    fn encode<Out: Departing + Serialize>(&self, message: &Out) -> Result<Departure> {
        let Some(substitute) = message.substitute() else {
            return Ok(Departure {
                bytes: frame::encode(message)?,
                _charge: None,
            });
        };
        let mut charge = self.bodies.account().open(Purpose::Response);
        let size = frame::size(message)?;
        let bytes = if charge.resize(size) {
            frame::encode(message)?
        } else {
            crate::event!(
                warn,
                "response_not_sent",
                bytes = size,
                reason = "no memory"
            );
            frame::encode(&substitute)?
        };
        Ok(Departure {
            bytes,
            _charge: Some(charge),
        })
    }
}

async fn read_frames<In: Arriving>(
    stream: TcpStream,
    room: Room,
    arrivals: Sender<Result<Arrival<In>>>,
    departures: Sender<Departure>,
) {
    let mut stream = BufReader::new(stream);
    loop {
        let arrival = match Frame::read(&mut stream, &room).await {
            Ok(Some(Frame::Whole(body))) => frame::decode(&body).map(|message| Arrival {
                message,
                charge: body.into_charge(),
            }),
            Ok(Some(Frame::Skipped(prefix))) => match In::skip(&prefix) {
                Ok(Consequence::Answer(bytes)) => {
                    let departure = Departure {
                        bytes,
                        _charge: None,
                    };
                    if departures.send_async(departure).await.is_err() {
                        return;
                    }
                    continue;
                }
                Ok(Consequence::Deliver(message)) => Ok(Arrival {
                    message,
                    charge: None,
                }),
                Err(error) => Err(error),
            },
            Ok(None) => return,
            Err(error) => Err(error),
        };
        let is_over = arrival.is_err();
        if arrivals.send_async(arrival).await.is_err() || is_over {
            return;
        }
    }
}

async fn write_frames(mut stream: TcpStream, departures: Receiver<Departure>) {
    while let Ok(departure) = departures.recv_async().await {
        let BufResult(outcome, _) = stream.write_all(departure.bytes).await;
        if let Err(error) = outcome {
            crate::event!(debug, "message_not_written", error = error);
            return;
        }
    }
}

fn closed<E>(_: E) -> Error {
    Error::new(ErrorKind::BrokenPipe, "the connection is closed")
}
