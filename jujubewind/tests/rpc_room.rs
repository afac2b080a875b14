//! Calls between processes that have no memory for them.

use std::net::SocketAddr;

use compio::net::TcpListener;
use compio::runtime::Runtime;
use jujubewind::http::BodyBudget;
use jujubewind::http::ConnectionLimits;
use jujubewind::memory::Blob;
use jujubewind::memory::Held;
use jujubewind::memory::Purpose;
use jujubewind::refusal::Reason;
use jujubewind::refusal::Refusal;
use jujubewind::rpc;
use jujubewind::rpc::Agent;
use jujubewind::rpc::AgentClient;
use jujubewind::rpc::Connections;
use jujubewind::rpc::Error;
use jujubewind::rpc::Result;
use jujubewind::rpc::Room;
use jujubewind::rpc::TimeDriver;
use jujubewind::rpc::message::AgentStatus;
use jujubewind::rpc::message::Call;
use jujubewind::rpc::message::CallReply;
use jujubewind::rpc::message::Cancel;
use jujubewind::rpc::message::CancelReply;
use jujubewind::rpc::message::Envelope;
use jujubewind::rpc::message::Gossip;
use jujubewind::rpc::message::Hold;
use jujubewind::rpc::message::HoldReply;
use jujubewind::rpc::message::Pull;
use jujubewind::rpc::message::PullReply;
use jujubewind::rpc::message::Quote;
use jujubewind::rpc::message::QuoteReply;
use jujubewind::rpc::message::Start;
use jujubewind::rpc::message::StartReply;
use jujubewind::timer::Clock;
use jujubewind::types::AttemptId;
use jujubewind::types::Bytes;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use tarpc::context::Context;

const ROOM: Bytes = Bytes(1_000_000);
const LARGE_BYTES: usize = 2_000_000;
const SMALL_BYTES: usize = 100;
/// Keeps a test from hanging; no test depends on the value.
const TIMEOUT: Millis = Millis(30_000);

/// Answers calls with as many bytes as their key says.
#[derive(Clone)]
struct Echo;

impl Agent for Echo {
    async fn quote(self, _: Context, _: Quote) -> QuoteReply {
        QuoteReply::Refused(refusal())
    }

    async fn hold(self, _: Context, _: Hold) -> HoldReply {
        HoldReply::Refused(refusal())
    }

    async fn start(self, _: Context, _: Start) -> StartReply {
        StartReply::Refused(refusal())
    }

    async fn pull(self, _: Context, _: Pull) -> PullReply {
        PullReply::Unknown
    }

    async fn cancel(self, _: Context, _: Cancel) -> CancelReply {
        CancelReply::Unknown
    }

    async fn call(self, _: Context, request: Call) -> CallReply {
        let size = request.key.and_then(|key| key.parse().ok()).unwrap_or(0);
        CallReply::Answered {
            status: 200,
            body: Held::from(Blob(vec![b'x'; size])),
        }
    }

    async fn gossip(self, _: Context, _: Gossip) -> Option<Gossip> {
        None
    }

    async fn status(self, _: Context) -> Option<AgentStatus> {
        None
    }
}

const fn refusal() -> Refusal {
    Refusal {
        reason: Reason::Leaving,
        retry: Millis::ZERO,
    }
}

fn room(purpose: Purpose, limit: Bytes) -> Room {
    Room {
        bodies: BodyBudget::new(limit),
        clock: Clock::start(),
        purpose,
    }
}

/// Starts a server in the current runtime.
async fn start(limit: Bytes) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let room = room(Purpose::Request, limit);
    let serving = rpc::serve(listener, Echo.serve(), room, ConnectionLimits::NONE);
    compio::runtime::spawn(serving).detach();
    addr
}

/// Makes a call with `sent` bytes that is answered with `answered` bytes; returns how many came.
async fn call(
    client: &Connections<AgentClient>,
    addr: SocketAddr,
    sent: usize,
    answered: usize,
) -> Result<usize> {
    let message = Call {
        envelope: Envelope {
            attempt: AttemptId::from_number(1),
            sender: "entry-1".parse().expect("a name"),
            incarnation: Incarnation(1),
            remaining: TIMEOUT,
        },
        service: "desk".parse().expect("a name"),
        method: "balances".to_owned(),
        key: Some(answered.to_string()),
        body: Held::from(Blob(vec![b'x'; sent])),
    };
    let call = async |agent: &AgentClient, context| agent.call(context, message).await;
    let reply = client.call(addr, TIMEOUT, call).await?;
    Ok(match reply {
        CallReply::Answered { body, .. } => body.len(),
        CallReply::Refused(_) | CallReply::Unknown => 0,
    })
}

fn run<T>(test: impl AsyncFnOnce() -> T) -> T {
    let timers = TimeDriver::start().expect("a thread");
    let _timers = timers.enter();
    Runtime::new().expect("a runtime").block_on(test())
}

/// A frame was buffered whole, whatever the process held already.
#[test]
fn call_without_room_at_the_server_is_not_delivered() {
    let (large, small) = run(async || {
        let addr = start(ROOM).await;
        let client = Connections::default();

        let large = call(&client, addr, LARGE_BYTES, SMALL_BYTES).await;
        (large, call(&client, addr, SMALL_BYTES, SMALL_BYTES).await)
    });

    assert!(matches!(large, Err(Error::NotDelivered(_))), "{large:?}");
    assert_eq!(small.ok(), Some(SMALL_BYTES));
}

#[test]
fn response_without_room_at_the_server_is_no_answer() {
    let (large, small) = run(async || {
        let addr = start(ROOM).await;
        let client = Connections::default();

        let large = call(&client, addr, SMALL_BYTES, LARGE_BYTES).await;
        (large, call(&client, addr, SMALL_BYTES, SMALL_BYTES).await)
    });

    assert!(matches!(large, Err(Error::NoAnswer(..))), "{large:?}");
    assert_eq!(small.ok(), Some(SMALL_BYTES));
}

#[test]
fn response_without_room_at_the_client_is_no_answer() {
    let (large, small) = run(async || {
        let addr = start(Bytes(u64::MAX)).await;
        let client = Connections::new(room(Purpose::Response, ROOM));

        let large = call(&client, addr, SMALL_BYTES, LARGE_BYTES).await;
        (large, call(&client, addr, SMALL_BYTES, SMALL_BYTES).await)
    });

    assert!(matches!(large, Err(Error::NoAnswer(..))), "{large:?}");
    assert_eq!(small.ok(), Some(SMALL_BYTES));
}

#[test]
fn large_call_is_answered_if_there_is_room() {
    let outcome = run(async || {
        let addr = start(Bytes(u64::MAX)).await;

        call(&Connections::default(), addr, LARGE_BYTES, LARGE_BYTES).await
    });

    assert_eq!(outcome.ok(), Some(LARGE_BYTES));
}
