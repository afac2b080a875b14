//! Options of the embedded system.

/// Size, speed and port of the embedded system.
#[derive(Clone, Debug)]
pub struct SystemOptions {
    /// Number of engines, each with an agent.
    pub engines: u16,
    /// Speed of the engines as a multiple of real time.
    pub speed: f64,
    /// Port of the first entry; the second uses the next one. Zero selects free ports.
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
