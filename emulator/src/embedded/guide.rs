//! Example requests to a running system.

use std::fmt::Display;
use std::fmt::Formatter;

use super::KEY;
use super::MODEL;
use super::System;
use super::catalogue::SERVICE;

/// Shell commands for trying the system, and the address of each component.
#[derive(Debug)]
pub struct Guide<'a>(pub &'a System);

impl Display for Guide<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let root = format!("http://{}", self.0.entries[0]);
        let key = format!("-H 'authorization: Bearer {KEY}'");
        let body = format!(
            r#"{{"model": "{MODEL}", "prompt": "Who attests?", "max_tokens": 8, "stream": true}}"#
        );
        writeln!(f, "the system is running; press Ctrl-C to stop it\n")?;
        writeln!(f, "curl -N {root}/v1/completions {key} -d '{body}'\n")?;
        let service = format!("{root}/v1/services/{SERVICE}/balances");
        writeln!(f, "curl {service} {key} -d '{{\"account\": 7}}'\n")?;
        writeln!(f, "curl {root}/status\n")?;
        self.write_addresses(f)
    }
}

impl Guide<'_> {
    fn write_addresses(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (index, addr) in self.0.entries.iter().enumerate() {
            writeln!(f, "entry {}: http://{addr}", index + 1)?;
        }
        for (index, engine) in self.0.engines.iter().enumerate() {
            writeln!(f, "engine {}: {}", index + 1, engine.url())?;
        }
        writeln!(f, "service: {}", self.0.service.url())?;
        writeln!(f, "platform: {}", self.0.platform.url())
    }
}
