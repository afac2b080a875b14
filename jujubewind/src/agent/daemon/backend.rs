//! The agent's requests to its backend server.

use flume::Sender;

use super::Client;
use super::Daemon;
use super::HOLD_RETRY_DELAY;
use super::unsupported_backend;
use crate::agent::Command;
use crate::agent::message::Message;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::message::Call;
use crate::rpc::message::CallReply;
use crate::rpc::message::Hold;
use crate::rpc::message::HoldReply;
use crate::types::MonoTime;
use crate::wire::engine::CacheChange;
use crate::wire::engine::CacheEvents;

impl Daemon {
    /// Reserves memory for a group's part of a prompt, first at the scheduler, then at the engine;
    /// the reply is sent once both have accepted it or one has refused.
    pub(super) fn hold(&mut self, now: MonoTime, request: &Hold, reply: Sender<HoldReply>) {
        let Client::Engine(client) = &self.client else {
            let _ = reply.send(HoldReply::Refused(unsupported_backend()));
            return;
        };
        if let Some(refusal) = self.core.hold(now, request) {
            self.metrics.count_refusal(refusal.reason);
            let _ = reply.send(HoldReply::Refused(refusal));
            return;
        }
        let client = client.clone();
        let messages = self.messages.clone();
        let (attempt, amount) = (request.envelope.attempt, request.amount);
        let work = async move {
            if client.hold(attempt, amount).await {
                let _ = reply.send(HoldReply::Held);
                return;
            }
            let _ = messages.send(Message::HoldFailed(attempt));
            let _ = reply.send(HoldReply::Refused(Refusal {
                reason: Reason::NoMemory,
                retry: HOLD_RETRY_DELAY,
            }));
        };
        compio::runtime::spawn(work).detach();
    }

    /// Forwards a call to the plain service, unless the core refuses it.
    pub(super) fn call(&mut self, now: MonoTime, call: Call, reply: Sender<CallReply>) {
        let Client::Service(client) = &self.client else {
            let _ = reply.send(CallReply::Refused(unsupported_backend()));
            return;
        };
        if let Some(refusal) = self.core.begin_call(now, &call) {
            self.metrics.count_refusal(refusal.reason);
            let _ = reply.send(CallReply::Refused(refusal));
            return;
        }
        let client = client.clone();
        let messages = self.messages.clone();
        let work = async move {
            let answer = client.call(&call).await;
            let _ = reply.send(answer.reply);
            let ended = Message::CallEnded {
                attempt: call.envelope.attempt,
                sent: now,
                limit: answer.limit,
            };
            let _ = messages.send_async(ended).await;
        };
        compio::runtime::spawn(work).detach();
    }

    /// Executes the core's commands: answers waiting pulls and sends the rest to the engine.
    pub(super) fn execute(&mut self, now: MonoTime, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Wake(attempt) => {
                    if let Some(pending) = self.pending_pulls.remove(&attempt) {
                        self.pull(now, pending.pull, pending.reply);
                    }
                }
                command => self.send_to_engine(command),
            }
        }
    }

    /// Sends a command to the engine; its outcome arrives as a message.
    fn send_to_engine(&self, command: Command) {
        let Client::Engine(client) = &self.client else {
            return;
        };
        let client = client.clone();
        let work = async move {
            match command {
                Command::Submit(start, priority) => client.generate(*start, priority).await,
                Command::Export(attempt) => client.export(attempt).await,
                Command::Import(attempt, handle) => client.import(attempt, handle).await,
                Command::Drop(handle) => client.drop_export(handle).await,
                Command::Stop(attempt) => client.cancel(attempt).await,
                Command::Release(attempt) => client.release(attempt).await,
                Command::Wake(_) => {}
            }
        };
        compio::runtime::spawn(work).detach();
    }

    /// Applies the engine's cache events, whose sequence numbers reveal gaps.
    pub(super) fn apply_cache_events(&mut self, events: &CacheEvents) {
        let cached = self.core.cached_blocks();
        for event in &events.events {
            let stored = event.kind == CacheChange::Stored;
            cached.apply(event.seq, event.block.0, stored);
        }
    }
}
