//! How large and how fast the embedded system is.

/// How large and how fast the embedded system is.
#[derive(Clone, Debug)]
pub struct SystemOptions {
    /// Engines, each with an agent.
    pub engines: u16,
    /// How many times faster than real time the engines run.
    pub speed: f64,
    /// The first entry's port, followed by the second's; zero takes free ones.
    pub port: u16,
}

impl Default for SystemOptions {
    fn default() -> Self {
        Self {
            engines: 4,
            speed: 10.0,
            port: 0,
        }
    }
}
