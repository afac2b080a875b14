//! The two simulated deployments.

use jujubewind::types::Class;
use jujubewind::types::Tokens;
use rand::RngExt;
use rand::rngs::StdRng;

jujubewind::label! {
    /// A deployment, whose fleet and traffic are simulated.
    pub enum Site {
        /// Ravi Bagh Software House: all traffic is urgent or interactive.
        RaviBagh = "ravi-bagh",
        /// Miejskie Przedsiębiorstwo Rozliczeń Społecznych w Lublinie: many long prompts are batch.
        Lublin = "lublin",
    }
}

impl Site {
    /// The number of engines.
    #[must_use]
    pub const fn engines(self) -> usize {
        match self {
            Self::RaviBagh => 15,
            Self::Lublin => 25,
        }
    }

    /// Draws the class of a request from the length of its prompt.
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
