//! The price of a request in engine time, by a formula that an operator can check by hand.

use crate::types::Credit;
use crate::types::Tokens;

/// Engine time for each token of a prompt.
const PROMPT_TOKEN_NANOS: u64 = 40_000;
/// Engine time for each token of a prompt and each [`CONTEXT_TOKENS`] tokens before it.
const ATTENTION_NANOS: u64 = 600;
/// The context length to which [`ATTENTION_NANOS`] applies.
const CONTEXT_TOKENS: u64 = 1_024;
/// Engine time for each token of an answer: its share of a batch's step.
const ANSWER_TOKEN_NANOS: u64 = 1_000_000;
/// Engine time of one unit of credit.
const NANOS_PER_CREDIT: u64 = 1_000_000;

/// The engine time to process `prompt` and generate `answer`, rounded up to a unit of credit.
#[must_use]
pub fn price(prompt: Tokens, answer: Tokens) -> Credit {
    let prompt = prompt.get();
    let linear = prompt.saturating_mul(PROMPT_TOKEN_NANOS);
    let pairs = prompt.saturating_mul(prompt) / 2;
    let attention = (pairs / CONTEXT_TOKENS).saturating_mul(ATTENTION_NANOS);
    let decode = answer.get().saturating_mul(ANSWER_TOKEN_NANOS);
    let total = linear.saturating_add(attention).saturating_add(decode);
    Credit(total.div_ceil(NANOS_PER_CREDIT))
}
