//! Address lists on the command line.

use std::fmt::Display;
use std::fmt::Formatter;
use std::net::AddrParseError;
use std::net::SocketAddr;
use std::str::FromStr;

/// Addresses separated by commas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addrs(pub Vec<SocketAddr>);

impl FromStr for Addrs {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let addrs = text.split(',').map(|addr| addr.trim().parse());
        addrs.collect::<Result<_, _>>().map(Self)
    }
}

impl Display for Addrs {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let texts: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&texts.join(","))
    }
}
