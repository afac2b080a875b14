//! A demonstration: load on the embedded system, and what came of it.

use std::net::SocketAddr;
use std::time::Instant;

use cyper::Client;
use futures::future::try_join_all;
use jujubewind::types::Millis;
use jujubewind::types::Tokens;
use jujubewind::wire::engine::SequenceList;
use jujubewind::wire::service::ServiceCounts;

use super::EngineMemory;
use super::KEY;
use super::MODEL;
use super::Result;
use super::Summary;
use super::System;
use super::SystemOptions;
use super::client;
use crate::load;
use crate::load::LoadPlan;
use crate::load::Report;
use crate::load::Target;

/// Calls to the plain service.
const CALLS: u64 = 50;
/// How long engines may take to give memory back after the last answer.
const SETTLE: Millis = Millis(10_000);
/// How often they are asked.
const POLL: Millis = Millis(50);

/// A system and the load that is put on it, half on each entry.
#[derive(Clone, Debug)]
pub struct Demo {
    /// The system.
    pub system: SystemOptions,
    /// The load.
    pub plan: LoadPlan,
}

impl Demo {
    /// Starts the system, puts the load on and waits until the engines are at rest.
    ///
    /// # Errors
    /// The system does not start, or a stand-in does not answer.
    pub async fn run(&self) -> Result<Summary> {
        let system = System::start(&self.system).await?;
        let client = Client::new()?;
        let before = free(&client, &system).await?;
        let report = self.load(&system).await?;
        let answered = call(&client, &system).await?;
        let after = settled(&client, &system, &before).await?;
        let executions = executions(&client, &system).await?;
        let engines = before.into_iter().zip(after);
        Ok(Summary {
            report,
            answered,
            calls: CALLS,
            executions,
            engines: engines
                .map(|(before, after)| EngineMemory { before, after })
                .collect(),
        })
    }

    async fn load(&self, system: &System) -> Result<Report> {
        let entries = system.entries.iter().zip(0..);
        let loads = entries.map(|(entry, place)| load::run(target(*entry), self.share(place)));
        let reports = try_join_all(loads).await?;
        let mut all = Report::default();
        for report in &reports {
            all.merge(report);
        }
        Ok(all)
    }

    /// The load on one of the two entries: half of the requests and of their rate.
    fn share(&self, place: u64) -> LoadPlan {
        LoadPlan {
            count: (self.plan.count + 1 - place) / 2,
            seed: self.plan.seed.wrapping_mul(2).wrapping_add(place),
            rate: self.plan.rate / 2.0,
            ..self.plan.clone()
        }
    }
}

fn target(entry: SocketAddr) -> Target {
    Target {
        url: format!("http://{entry}"),
        key: KEY.to_owned(),
        model: MODEL.to_owned(),
    }
}

async fn call(client: &Client, system: &System) -> Result<u64> {
    let mut answered = 0;
    for number in 0..CALLS {
        let entry = system.entries[usize::from(number % 2 == 1)];
        let reply = client::call(client, entry, "balances", &format!("call-{number}")).await?;
        answered += u64::from(reply.status().is_success());
    }
    Ok(answered)
}

async fn executions(client: &Client, system: &System) -> Result<u64> {
    let counts: ServiceCounts = client::get(client, system.service.addr, "/counts").await?;
    Ok(counts.executions.values().sum())
}

async fn free(client: &Client, system: &System) -> Result<Vec<Tokens>> {
    let mut free = Vec::new();
    for engine in &system.engines {
        let list: SequenceList = client::get(client, engine.addr, "/v1/sequences").await?;
        free.push(Tokens(list.free));
    }
    Ok(free)
}

/// The free memory once it is what it was, or when the wait is over.
async fn settled(client: &Client, system: &System, before: &[Tokens]) -> Result<Vec<Tokens>> {
    let start = Instant::now();
    loop {
        let now = free(client, system).await?;
        if now == before || start.elapsed() > SETTLE.duration() {
            return Ok(now);
        }
        compio::time::sleep(POLL.duration()).await;
    }
}
