//! The list of VMs, which tells what was true a while ago.

use std::collections::VecDeque;

use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::wire::platform::Vm;
use jujubewind::wire::platform::VmList;

/// Lists that are kept.
const KEPT_LISTS: usize = 256;

/// The lists of VMs so far.
#[derive(Clone, Debug, Default)]
pub struct VmLog {
    lists: VecDeque<(MonoTime, Vec<Vm>)>,
}

impl VmLog {
    /// Notes that the VMs are these from now on.
    pub fn record(&mut self, now: MonoTime, vms: Vec<Vm>) {
        if self.lists.len() == KEPT_LISTS {
            self.lists.pop_front();
        }
        self.lists.push_back((now, vms));
    }

    /// The list as it was `lag` ago; the first one if there was none yet.
    #[must_use]
    pub fn read(&self, now: MonoTime, lag: Millis) -> VmList {
        let is_old = |list: &&(MonoTime, Vec<Vm>)| list.0.after(lag) <= now;
        let found = self.lists.iter().rev().find(is_old);
        let vms = found.or(self.lists.front()).map(|(_, vms)| vms.clone());
        VmList {
            as_of_ms: lag.get(),
            vms: vms.unwrap_or_default(),
        }
    }
}
