//! Carries out what the publisher asks of the store.

use super::Platform;
use super::platform::PAUSE;
use crate::catalogue::Head;
use crate::catalogue::layout;
use crate::catalogue::publish::HeadVersion;
use crate::catalogue::publish::Output;
use crate::catalogue::publish::Publisher;
use crate::catalogue::publish::Reply;
use crate::catalogue::publish::Request;
use crate::catalogue::publish::Verdict;
use crate::store::Cause;
use crate::store::Entry;
use crate::store::Key;
use crate::store::Op;
use crate::store::Outcome;
use crate::store::Version;
use crate::store::Write;

/// How often a call that the store refused for its rate is repeated.
const RATE_RETRIES: usize = 25;

/// Makes the publisher's calls until it has a verdict.
pub async fn publish(platform: &Platform, mut publisher: Publisher) -> Verdict {
    let mut output = publisher.begin();
    loop {
        match output {
            Output::Done(verdict) => return verdict,
            Output::Ask(request) => {
                let reply = ask(platform, &request).await;
                if matches!(reply, Reply::Failed | Reply::Unknown) {
                    compio::time::sleep(PAUSE.duration()).await;
                }
                output = publisher.handle(reply);
            }
        }
    }
}

async fn ask(platform: &Platform, request: &Request) -> Reply {
    let op = op(request);
    let mut outcome = platform.client.call(&op).await;
    for _ in 0..RATE_RETRIES {
        if outcome != Outcome::NotApplied(Cause::RateLimited) {
            break;
        }
        compio::time::sleep(PAUSE.duration()).await;
        outcome = platform.client.call(&op).await;
    }
    reply(request, outcome)
}

fn op(request: &Request) -> Op {
    match request {
        Request::ReadHead => Op::Get(layout::head_key()),
        Request::ReadHistory(revision) => Op::Get(layout::history_key(*revision)),
        Request::WriteText(hash, text) => put(layout::text_key(*hash), text.as_bytes()),
        Request::WriteHistory(head) => {
            put(layout::history_key(head.revision), head.encode().as_bytes())
        }
        Request::SwapHead(version, head) => Op::CompareAndSwap(Write {
            key: layout::head_key(),
            expect: Version(version.get()),
            value: Some(head.encode().into_bytes()),
            lease: None,
        }),
    }
}

fn put(key: Key, value: &[u8]) -> Op {
    Op::Put {
        key,
        value: value.to_vec(),
        lease: None,
    }
}

fn reply(request: &Request, outcome: Outcome) -> Reply {
    match (request, outcome) {
        (Request::ReadHistory(_), Outcome::Found(entry)) => match entry.as_ref().map(decode) {
            Some(None) => Reply::Failed,
            found => Reply::History(found.flatten()),
        },
        (_, Outcome::Found(None)) => Reply::Head(None),
        (_, Outcome::Found(Some(entry))) => match decode(&entry) {
            Some(head) => Reply::Head(Some((HeadVersion(entry.version.get()), head))),
            None => Reply::Failed,
        },
        (_, Outcome::Applied(_)) => Reply::Written,
        (_, Outcome::Conflict(_) | Outcome::Conflicts(_)) => Reply::Changed,
        (_, Outcome::NotApplied(_)) => Reply::Failed,
        _ => Reply::Unknown,
    }
}

fn decode(entry: &Entry) -> Option<Head> {
    Head::decode(std::str::from_utf8(&entry.value).ok()?)
}
