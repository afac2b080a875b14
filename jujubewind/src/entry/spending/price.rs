//! What a request costs its catalogue entry, by a formula that an operator can check by hand.

use crate::types::Credit;
use crate::types::Tokens;

/// Engine time for each token of a prompt, in nanoseconds.
const PROMPT: u64 = 40_000;
/// Engine time for each token of a prompt and each [`CONTEXT`] tokens before it, in nanoseconds.
const ATTENTION: u64 = 600;
/// The context over which attention's price is stated, in tokens.
const CONTEXT: u64 = 1_024;
/// Engine time for each token of an answer, in nanoseconds: its share of a batch's step.
const ANSWER: u64 = 1_000_000;
/// Nanoseconds in a unit of credit.
const UNIT: u64 = 1_000_000;

/// The engine time to read `prompt` and write `answer`, rounded up to a whole unit.
#[must_use]
pub fn price(prompt: Tokens, answer: Tokens) -> Credit {
    let prompt = prompt.get();
    let linear = prompt.saturating_mul(PROMPT);
    let pairs = prompt.saturating_mul(prompt) / 2;
    let attention = (pairs / CONTEXT).saturating_mul(ATTENTION);
    let writing = answer.get().saturating_mul(ANSWER);
    let whole = linear.saturating_add(attention).saturating_add(writing);
    Credit(whole.div_ceil(UNIT))
}
