//! How to speak to a system that is up.

use std::fmt::Display;
use std::fmt::Formatter;

use super::KEY;
use super::MODEL;
use super::System;
use super::catalogue::SERVICE;

/// Lines that can be pasted into a shell, and where each part listens.
#[derive(Debug)]
pub struct Guide<'a>(pub &'a System);

impl Display for Guide<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let root = format!("http://{}", self.0.entries[0]);
        let key = format!("-H 'authorization: Bearer {KEY}'");
        let wish = format!(
            r#"{{"model": "{MODEL}", "prompt": "Who attests?", "max_tokens": 8, "stream": true}}"#
        );
        writeln!(f, "the system is up; press Ctrl-C to end it\n")?;
        writeln!(f, "curl -N {root}/v1/completions {key} -d '{wish}'\n")?;
        let desk = format!("{root}/v1/services/{SERVICE}/balances");
        writeln!(f, "curl {desk} {key} -d '{{\"account\": 7}}'\n")?;
        writeln!(f, "curl {root}/status\n")?;
        self.parts(f)
    }
}

impl Guide<'_> {
    fn parts(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (place, addr) in self.0.entries.iter().enumerate() {
            writeln!(f, "entry {}: http://{addr}", place + 1)?;
        }
        for (place, engine) in self.0.engines.iter().enumerate() {
            writeln!(f, "engine {}: {}", place + 1, engine.url())?;
        }
        writeln!(f, "service: {}", self.0.service.url())?;
        writeln!(f, "platform: {}", self.0.platform.url())
    }
}
