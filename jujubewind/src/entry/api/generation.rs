//! Handler of generation requests.

use std::cell::Cell;
use std::cell::RefCell;

use flume::Receiver;
use hyper::HeaderMap;

use super::dialect::Dialect;
use super::dialect::GenerationRequest;
use super::dialect::ResponseMetadata;
use super::generation_reply;
use super::handler::Api;
use super::headers;
use crate::catalogue::Limits;
use crate::conviction::Fingerprint;
use crate::entry::Failure;
use crate::entry::Job;
use crate::entry::control::Admission;
use crate::entry::control::Permit;
use crate::entry::driver::Driver;
use crate::entry::response_event::ResponseEvent;
use crate::entry::spending::Spending;
use crate::entry::spending::price;
use crate::http::Reply;
use crate::http::WholeBody;
use crate::memory::Held;
use crate::prefix;
use crate::refusal::Reason;
use crate::types::Credit;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::RequestId;
use crate::types::Tokens;

/// The maximum length of the answer if the request sets none.
const DEFAULT_OUTPUT: Tokens = Tokens(256);
/// Response events that are buffered for a slow caller.
const BUFFERED_EVENTS: usize = 4;

impl Api {
    /// Serves a generation request.
    pub(super) async fn generate(
        &self,
        request: RequestId,
        dialect: Dialect,
        headers: &HeaderMap,
        body: WholeBody,
    ) -> Result<Reply, Failure> {
        let bad = Failure::not_run(Reason::BadRequest, Millis::ZERO);
        let generation = dialect.parse(&body.to_vec()).ok_or(bad.clone())?;
        let requested = headers::timeout(headers).map_err(|()| bad)?;
        let prompt = prefix::count_tokens(&generation.text);
        let GenerationRequest {
            model,
            text,
            output,
            stream,
        } = generation;
        let text = self.hold_value(text, body)?;
        let permit = self.control.admit(Admission {
            key: headers::bearer(headers),
            name: model.clone(),
            prompt,
            output: output.unwrap_or(DEFAULT_OUTPUT),
        });
        let permit = permit.await?;
        let timeout = effective_timeout(requested, &permit.entry.limits);
        let job = new_job(request, &permit, model, text);
        let metadata = ResponseMetadata {
            request,
            model: job.model.clone(),
            prompt,
        };
        let events = self.spawn_driver(job, permit, timeout);
        if stream {
            Ok(generation_reply::streamed_reply(dialect, metadata, events).await)
        } else {
            Ok(generation_reply::full_reply(dialect, &metadata, events).await)
        }
    }

    /// Starts the task of the request; it ends early when the receiver is dropped.
    fn spawn_driver(&self, job: Job, permit: Permit, timeout: Millis) -> Receiver<ResponseEvent> {
        let (tx, rx) = flume::bounded(BUFFERED_EVENTS);
        let admitted = self.clock.now();
        let driver = Driver {
            job,
            deadline: admitted.after(timeout),
            admitted,
            clock: self.clock,
            agents: self.agents.clone(),
            control: self.control.clone(),
            caller: tx,
            first_token_sent: Cell::default(),
            started: Cell::default(),
            reservation: RefCell::default(),
        };
        compio::runtime::spawn(run_with_credit(driver, permit, self.spending.clone())).detach();
        rx
    }
}

/// Runs a request on the credit of its catalogue entry; without a platform there is no metering.
async fn run_with_credit(driver: Driver, permit: Permit, spending: Option<Spending>) {
    let control = driver.control.clone();
    let max_price = price(permit.prompt, permit.output);
    let funds = match &spending {
        None => None,
        Some(spending) => match spending.spend(&permit.entry, max_price).await {
            Ok(funds) => Some((spending, funds)),
            Err(refusal) => {
                control.release(permit, Tokens::ZERO);
                return driver.refuse(refusal.into()).await;
            }
        },
    };
    let usage = driver.run().await;
    if let Some((spending, funds)) = funds {
        let used = if usage.started {
            price(permit.prompt, usage.output)
        } else {
            Credit::ZERO
        };
        spending.settle(funds, used);
    }
    control.release(permit, usage.output);
}

/// Returns the caller's timeout, or the default, limited to what the catalogue allows.
pub(super) fn effective_timeout(requested: Option<Millis>, limits: &Limits) -> Millis {
    requested
        .unwrap_or(limits.default_timeout)
        .min(limits.longest_timeout)
}

fn new_job(request: RequestId, permit: &Permit, model: ModelId, text: Held<String>) -> Job {
    let blocks = prefix::block_hashes(&text);
    let fingerprint = Fingerprint::of(&permit.org, &model, &text);
    Job {
        request,
        org: permit.org.clone(),
        entry: permit.entry.id.clone(),
        model,
        class: permit.entry.class,
        fingerprint,
        prompt: permit.prompt,
        output: permit.output,
        text,
        blocks,
    }
}
