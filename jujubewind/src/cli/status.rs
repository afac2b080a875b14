//! `status`: shows the fleet as the entries see it.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;

use serde::Serialize;

use super::Error;
use super::Result;
use super::Warning;
use super::entry_client::EntryClient;
use super::options::StatusOptions;
use super::output::Report;
use crate::entry::EntryStatus;
use crate::entry::MemberStatus;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::Revision;

/// The combined status of the entries.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReport {
    entries: Vec<EntryLine>,
    silent: Vec<SocketAddr>,
    members: Vec<MemberLine>,
}

/// The status of an entry that answered.
#[derive(Clone, Debug, Serialize)]
struct EntryLine {
    addr: SocketAddr,
    node: NodeId,
    domain: DomainId,
    revision: Revision,
    confirmed: Option<Millis>,
    stopping: bool,
}

/// A member, with the entries that know or suspect it.
#[derive(Clone, Debug, Serialize)]
struct MemberLine {
    node: NodeId,
    role: String,
    domain: DomainId,
    leaving: bool,
    seen_by: Vec<NodeId>,
    suspected_by: Vec<NodeId>,
}

/// Queries all entries and combines their answers.
///
/// # Errors
/// No entry answers.
pub async fn status(options: &StatusOptions) -> Result<StatusReport> {
    let client = EntryClient::new()?;
    let queries = options
        .entries
        .0
        .iter()
        .map(async |addr| (*addr, client.status(*addr).await));
    let mut report = StatusReport {
        entries: Vec::new(),
        silent: Vec::new(),
        members: Vec::new(),
    };
    let mut members = BTreeMap::new();
    for (addr, answer) in futures::future::join_all(queries).await {
        match answer {
            Ok(status) => report.add(addr, status, &mut members),
            Err(_) => report.silent.push(addr),
        }
    }
    if report.entries.is_empty() {
        return Err(Error::NoEntry);
    }
    for addr in &report.silent {
        Warning::NoAnswer(*addr).print();
    }
    report.members = members.into_values().collect();
    Ok(report)
}

impl StatusReport {
    fn add(
        &mut self,
        addr: SocketAddr,
        status: EntryStatus,
        members: &mut BTreeMap<NodeId, MemberLine>,
    ) {
        for member in status.members {
            let line = members.entry(member.node.clone());
            let line = line.or_insert_with(|| MemberLine::new(&member));
            line.leaving |= member.leaving;
            line.seen_by.push(status.node.clone());
            if member.suspect {
                line.suspected_by.push(status.node.clone());
            }
        }
        self.entries.push(EntryLine {
            addr,
            node: status.node,
            domain: status.domain,
            revision: status.revision,
            confirmed: status.confirmed,
            stopping: status.stopping,
        });
    }
}

impl MemberLine {
    fn new(member: &MemberStatus) -> Self {
        Self {
            node: member.node.clone(),
            role: member.role.clone(),
            domain: member.domain.clone(),
            leaving: false,
            seen_by: Vec::new(),
            suspected_by: Vec::new(),
        }
    }
}

impl Report for StatusReport {}

impl Display for StatusReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for entry in &self.entries {
            writeln!(f, "{entry}")?;
        }
        for addr in &self.silent {
            writeln!(f, "entry at {addr}: silent")?;
        }
        for member in &self.members {
            writeln!(f, "{member}")?;
        }
        Ok(())
    }
}

impl Display for EntryLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let state = if self.stopping { "stopping" } else { "serving" };
        write!(
            f,
            "entry {} at {} in {}: revision {}, ",
            self.node, self.addr, self.domain, self.revision
        )?;
        match self.confirmed {
            Some(age) => write!(f, "confirmed {age} ago, {state}"),
            None => write!(f, "never confirmed, {state}"),
        }
    }
}

impl Display for MemberLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let names: Vec<&str> = self.suspected_by.iter().map(NodeId::as_str).collect();
        let leaving = if self.leaving { ", leaving" } else { "" };
        write!(f, "{} {} in {}{leaving}", self.role, self.node, self.domain)?;
        if names.is_empty() {
            return Ok(());
        }
        write!(f, ", suspected by {}", names.join(","))
    }
}
