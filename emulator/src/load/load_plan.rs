//! Which requests are sent, and when.

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

/// Which requests are sent, and when; the same seed gives the same plan.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// How many requests.
    pub count: u64,
    /// The seed of lengths, prompts and times.
    pub seed: u64,
    /// Requests a second, at random times; each is sent whether or not others have ended.
    pub rate: f64,
    /// The prompts' lengths.
    pub lengths: LengthMix,
    /// The length asked of each answer, in tokens.
    pub max_tokens: u64,
}

/// One request of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// The time since the request before.
    pub pause: Duration,
    /// The prompt's length.
    pub length: Tokens,
    /// The prompt.
    pub prompt: String,
    /// The length asked of the answer, in tokens.
    pub max_tokens: u64,
}

impl LoadPlan {
    /// The plan's requests, in order.
    pub fn requests(&self) -> impl Iterator<Item = PlannedRequest> + use<> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let plan = self.clone();
        (0..plan.count).map(move |_| plan.draw(&mut rng))
    }

    fn draw(&self, rng: &mut impl Rng) -> PlannedRequest {
        let length = self.lengths.draw(rng);
        let uniform: f64 = rng.random();
        PlannedRequest {
            pause: Duration::from_secs_f64(-(1.0 - uniform).ln() / self.rate),
            length,
            prompt: prompt(rng.next_u64(), length),
            max_tokens: self.max_tokens,
        }
    }
}

/// Carries out `plan` against `target` on the runtime of the calling thread.
///
/// # Errors
/// No client can be made.
pub async fn run(target: Target, plan: LoadPlan) -> cyper::Result<Report> {
    let client = Client::new()?;
    let mut tasks: Vec<JoinHandle<Outcome>> = Vec::new();
    for planned in plan.requests() {
        compio::time::sleep(planned.pause).await;
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

fn prompt(salt: u64, length: Tokens) -> String {
    let bytes = usize::try_from(length.get() * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    let words = (bytes / answer::TOKEN_BYTES + 1) as u64;
    let mut text = answer::tokens(salt, 0, words);
    text.truncate(bytes);
    text
}
