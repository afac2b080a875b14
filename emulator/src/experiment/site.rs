//! The two deployments.

use jujubewind::types::Class;
use jujubewind::types::Tokens;
use rand::RngExt;
use rand::rngs::StdRng;

jujubewind::label! {
    /// Whose fleet and traffic are modelled.
    pub enum Site {
        /// Ravi Bagh Software House: somebody waits for every answer.
        RaviBagh = "ravi-bagh",
        /// Miejskie Przedsiębiorstwo Rozliczeń Społecznych w Lublinie: audits may wait.
        Lublin = "lublin",
    }
}

impl Site {
    /// Model workers.
    #[must_use]
    pub const fn engines(self) -> usize {
        match self {
            Self::RaviBagh => 15,
            Self::Lublin => 25,
        }
    }

    /// Draws the class of work of a prompt.
    pub fn class(self, prompt: Tokens, rng: &mut StdRng) -> Class {
        let roll: f64 = rng.random();
        match (self, prompt.get()) {
            (Self::RaviBagh, ..10_000) if roll < 0.3 => Class::Urgent,
            (Self::Lublin, ..10_000) if roll < 0.5 => Class::Urgent,
            (Self::Lublin, 10_000..100_000) if roll < 0.5 => Class::Batch,
            (Self::Lublin, 100_000..) if roll < 0.9 => Class::Batch,
            _ => Class::Interactive,
        }
    }
}
