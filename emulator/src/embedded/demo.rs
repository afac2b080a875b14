//! Demonstration run: puts load on the embedded system and summarises the results.

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

/// Number of calls to the plain service.
const SERVICE_CALLS: u64 = 50;
/// Timeout for the engines to free their memory after the last response.
const RELEASE_TIMEOUT: Millis = Millis(10_000);
/// Interval between checks of the engines' free memory.
const POLL_INTERVAL: Millis = Millis(50);

/// A system and the load on it, split evenly between the two entries.
#[derive(Clone, Debug)]
pub struct Demo {
    /// Size and speed of the system.
    pub system: SystemOptions,
    /// Load on the system.
    pub plan: LoadPlan,
}

impl Demo {
    /// Starts the system, runs the load and waits until the engines have freed their memory.
    ///
    /// # Errors
    /// The system does not start, or an emulator does not respond.
    pub async fn run(&self) -> Result<Summary> {
        let system = System::start(&self.system).await?;
        let client = Client::new()?;
        let before = free_memory(&client, &system).await?;
        let report = self.load(&system).await?;
        let answered = call_service(&client, &system).await?;
        let after = wait_for_release(&client, &system, &before).await?;
        let executions = executions(&client, &system).await?;
        let engines = before.into_iter().zip(after);
        Ok(Summary {
            report,
            answered,
            calls: SERVICE_CALLS,
            executions,
            engines: engines
                .map(|(before, after)| EngineMemory { before, after })
                .collect(),
        })
    }

    async fn load(&self, system: &System) -> Result<Report> {
        let entries = system.entries.iter().zip(0..);
        let loads = entries.map(|(entry, index)| load::run(target(*entry), self.plan_for(index)));
        let reports = try_join_all(loads).await?;
        let mut total = Report::default();
        for report in &reports {
            total.merge(report);
        }
        Ok(total)
    }

    /// The load on one of the two entries: half of the requests at half of the rate.
    fn plan_for(&self, index: u64) -> LoadPlan {
        LoadPlan {
            count: (self.plan.count + 1 - index) / 2,
            seed: self.plan.seed.wrapping_mul(2).wrapping_add(index),
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

async fn call_service(client: &Client, system: &System) -> Result<u64> {
    let mut answered = 0;
    for number in 0..SERVICE_CALLS {
        let entry = system.entries[usize::from(number % 2 == 1)];
        let response = client::call(client, entry, "balances", &format!("call-{number}")).await?;
        answered += u64::from(response.status().is_success());
    }
    Ok(answered)
}

async fn executions(client: &Client, system: &System) -> Result<u64> {
    let counts: ServiceCounts = client::get(client, system.service.addr, "/counts").await?;
    Ok(counts.executions.values().sum())
}

async fn free_memory(client: &Client, system: &System) -> Result<Vec<Tokens>> {
    let mut free = Vec::new();
    for engine in &system.engines {
        let list: SequenceList = client::get(client, engine.addr, "/v1/sequences").await?;
        free.push(Tokens(list.free));
    }
    Ok(free)
}

/// Waits until the free memory is back at `before` or the timeout has passed; returns it.
async fn wait_for_release(
    client: &Client,
    system: &System,
    before: &[Tokens],
) -> Result<Vec<Tokens>> {
    let start = Instant::now();
    loop {
        let now = free_memory(client, system).await?;
        if now == before || start.elapsed() > RELEASE_TIMEOUT.duration() {
            return Ok(now);
        }
        compio::time::sleep(POLL_INTERVAL.duration()).await;
    }
}
