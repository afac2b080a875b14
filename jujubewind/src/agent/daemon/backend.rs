//! What the agent asks of its backend server.

use flume::Sender;

use super::Client;
use super::Daemon;
use super::HOLD_RETRY;
use super::no_engine;
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
    /// Holds a part at the scheduler, then at the engine; both must agree.
    pub(super) fn hold(&mut self, now: MonoTime, ask: &Hold, reply: Sender<HoldReply>) {
        let Client::Engine(client) = &self.client else {
            let _ = reply.send(HoldReply::Refused(no_engine()));
            return;
        };
        if let Some(refusal) = self.core.hold(now, ask) {
            self.metrics.count_refusal(refusal.reason);
            let _ = reply.send(HoldReply::Refused(refusal));
            return;
        }
        let client = client.clone();
        let messages = self.messages.clone();
        let (attempt, amount) = (ask.envelope.attempt, ask.amount);
        let work = async move {
            if client.hold(attempt, amount).await {
                let _ = reply.send(HoldReply::Held);
                return;
            }
            let _ = messages.send(Message::Unheld(attempt));
            let _ = reply.send(HoldReply::Refused(Refusal {
                reason: Reason::NoMemory,
                retry: HOLD_RETRY,
            }));
        };
        compio::runtime::spawn(work).detach();
    }

    pub(super) fn call(&mut self, call: Call, reply: Sender<CallReply>) {
        let Client::Service(client) = &self.client else {
            let _ = reply.send(CallReply::Refused(no_engine()));
            return;
        };
        if let Some(refusal) = self.core.begin_call(&call) {
            self.metrics.count_refusal(refusal.reason);
            let _ = reply.send(CallReply::Refused(refusal));
            return;
        }
        let client = client.clone();
        let messages = self.messages.clone();
        let work = async move {
            let answer = client.call(&call).await;
            let _ = reply.send(answer);
            let ended = Message::CallEnded(call.envelope.attempt);
            let _ = messages.send_async(ended).await;
        };
        compio::runtime::spawn(work).detach();
    }

    pub(super) fn execute(&mut self, now: MonoTime, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Wake(attempt) => {
                    if let Some(waiter) = self.waiters.remove(&attempt) {
                        self.pull(now, waiter.pull, waiter.reply);
                    }
                }
                order => self.order(order),
            }
        }
    }

    /// Sends an order to the engine; its outcome comes back as a message.
    fn order(&self, order: Command) {
        let Client::Engine(client) = &self.client else {
            return;
        };
        let client = client.clone();
        let work = async move {
            match order {
                Command::Submit(start, priority) => client.generate(*start, priority).await,
                Command::Export(attempt) => client.export(attempt).await,
                Command::Import(attempt, handle) => client.import(attempt, handle).await,
                Command::Drop(handle) => client.drop_handle(handle).await,
                Command::Stop(attempt) => client.cancel(attempt).await,
                Command::Release(attempt) => client.release(attempt).await,
                Command::Wake(_) => {}
            }
        };
        compio::runtime::spawn(work).detach();
    }

    /// Takes the engine's cache events, whose numbers tell of gaps.
    pub(super) fn cached(&mut self, events: &CacheEvents) {
        let cached = self.core.cached();
        for event in &events.events {
            let stored = event.kind == CacheChange::Stored;
            cached.note(event.seq, event.block.0, stored);
        }
    }
}
