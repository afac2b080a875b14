//! From a caller's wish to a request on its way.

use std::cell::Cell;
use std::cell::RefCell;

use hyper::HeaderMap;

use super::answer;
use super::dialect::Dialect;
use super::dialect::Header;
use super::dialect::Wish;
use super::handler::Api;
use super::headers;
use crate::catalogue::Limits;
use crate::conviction::Fingerprint;
use crate::entry::Failure;
use crate::entry::Job;
use crate::entry::control::Admission;
use crate::entry::control::Permit;
use crate::entry::driver::Driver;
use crate::entry::spending::Spending;
use crate::entry::spending::price;
use crate::http::Reply;
use crate::prefix;
use crate::refusal::Reason;
use crate::types::Credit;
use crate::types::Millis;
use crate::types::RequestId;
use crate::types::Tokens;

/// The longest answer of a request that names none.
const DEFAULT_OUTPUT: Tokens = Tokens(256);
/// Pieces of an answer that may wait for a slow caller.
const BUFFERED_EVENTS: usize = 4;

impl Api {
    /// Serves a request for a model's answer.
    pub(super) async fn generate(
        &self,
        request: RequestId,
        dialect: Dialect,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<Reply, Failure> {
        let bad = Failure::not_run(Reason::BadRequest, Millis::ZERO);
        let wish = dialect.parse(body).ok_or(bad.clone())?;
        let timeout = headers::timeout(headers).map_err(|()| bad)?;
        let prompt = prefix::count_tokens(&wish.text);
        let permit = self.control.admit(Admission {
            key: headers::bearer(headers),
            name: wish.model.clone(),
            prompt,
            output: wish.output.unwrap_or(DEFAULT_OUTPUT),
        });
        let permit = permit.await?;
        let time = time(timeout, &permit.entry.limits);
        let stream = wish.stream;
        let job = job(request, &permit, wish);
        let header = Header {
            request,
            model: job.model.clone(),
            prompt,
        };
        let events = self.launch(job, permit, time);
        if stream {
            Ok(answer::streamed(dialect, header, events).await)
        } else {
            Ok(answer::whole(dialect, &header, events).await)
        }
    }

    /// Starts the request's own task; it ends early when the receiver is dropped.
    fn launch(
        &self,
        job: Job,
        permit: Permit,
        time: Millis,
    ) -> flume::Receiver<crate::entry::caller::Event> {
        let (tx, rx) = flume::bounded(BUFFERED_EVENTS);
        let admitted = self.clock.now();
        let driver = Driver {
            job,
            deadline: admitted.after(time),
            admitted,
            clock: self.clock,
            link: self.link.clone(),
            control: self.control.clone(),
            caller: tx,
            begun: Cell::default(),
            started: Cell::default(),
            group: RefCell::default(),
        };
        compio::runtime::spawn(work(driver, permit, self.spending.clone())).detach();
        rx
    }
}

/// Serves a request within its catalogue entry's credit; without a platform nothing is metered.
async fn work(driver: Driver, permit: Permit, spending: Option<Spending>) {
    let control = driver.control.clone();
    let most = price(permit.prompt, permit.output);
    let funds = match &spending {
        None => None,
        Some(spending) => match spending.spend(&permit.entry, most).await {
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

/// The request's time: what the caller names, within what the catalogue allows.
pub(super) fn time(named: Option<Millis>, limits: &Limits) -> Millis {
    named
        .unwrap_or(limits.default_timeout)
        .min(limits.longest_timeout)
}

fn job(request: RequestId, permit: &Permit, wish: Wish) -> Job {
    let blocks = prefix::block_hashes(&wish.text);
    let fingerprint = Fingerprint::of(&permit.org, &wish.model, &wish.text);
    Job {
        request,
        org: permit.org.clone(),
        entry: permit.entry.id.clone(),
        model: wish.model,
        class: permit.entry.class,
        fingerprint,
        prompt: permit.prompt,
        output: permit.output,
        text: wish.text,
        blocks,
    }
}
