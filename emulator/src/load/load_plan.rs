//! Requests of a load run and their timing.

use std::time::Duration;

use compio::runtime::JoinHandle;
use cyper::Client;
use jujubewind::prefix::BYTES_PER_TOKEN;
use jujubewind::types::Tokens;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::LengthMix;
use super::Outcome;
use super::Report;
use super::Target;
use crate::engine::core::answer;

/// Parameters of a load run; the same seed gives the same requests.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Number of requests.
    pub count: u64,
    /// Seed for lengths, prompts and send times.
    pub seed: u64,
    /// Mean requests per second of a Poisson process; requests do not wait for earlier ones.
    pub rate: f64,
    /// Distribution of prompt lengths.
    pub lengths: LengthMix,
    /// Requested answer length in tokens.
    pub max_tokens: u64,
}

/// One request of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Delay after the previous request.
    pub delay: Duration,
    /// Length of the prompt.
    pub length: Tokens,
    /// Text of the prompt.
    pub prompt: String,
    /// Requested answer length in tokens.
    pub max_tokens: u64,
}

impl LoadPlan {
    /// Generates the requests in send order.
    pub fn requests(&self) -> impl Iterator<Item = PlannedRequest> + use<> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let plan = self.clone();
        (0..plan.count).map(move |_| plan.draw(&mut rng))
    }

    fn draw(&self, rng: &mut impl Rng) -> PlannedRequest {
        let length = self.lengths.draw(rng);
        let uniform: f64 = rng.random();
        PlannedRequest {
            delay: Duration::from_secs_f64(-(1.0 - uniform).ln() / self.rate),
            length,
            prompt: prompt(rng.next_u64(), length),
            max_tokens: self.max_tokens,
        }
    }
}

/// Runs `plan` against `target` on the runtime of the calling thread.
///
/// # Errors
/// The HTTP client cannot be created.
pub async fn run(target: Target, plan: LoadPlan) -> cyper::Result<Report> {
    let client = Client::new()?;
    let mut tasks: Vec<JoinHandle<Outcome>> = Vec::new();
    for planned in plan.requests() {
        compio::time::sleep(planned.delay).await;
        let target = target.clone();
        let client = client.clone();
        let attempt = async move { target.attempt(&client, planned).await };
        tasks.push(compio::runtime::spawn(attempt));
    }
    let mut report = Report::default();
    for task in tasks {
        match task.await {
            Ok(outcome) => report.add(&outcome),
            Err(_) => report.lost += 1,
        }
    }
    Ok(report)
}

fn prompt(seed: u64, length: Tokens) -> String {
    let bytes = usize::try_from(length.get() * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    let words = (bytes / answer::TOKEN_BYTES + 1) as u64;
    let mut text = answer::tokens(seed, 0, words);
    text.truncate(bytes);
    text
}
