//! History of the VM list, from which lagging reads are served.

use std::collections::VecDeque;

use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::wire::platform::Vm;
use jujubewind::wire::platform::VmList;

/// Number of lists kept.
const MAX_LISTS: usize = 256;

/// Past and current VM lists with the time of each change.
#[derive(Clone, Debug, Default)]
pub struct VmLog {
    lists: VecDeque<(MonoTime, Vec<Vm>)>,
}

impl VmLog {
    /// Records `vms` as the list from `now` on.
    pub fn record(&mut self, now: MonoTime, vms: Vec<Vm>) {
        if self.lists.len() == MAX_LISTS {
            self.lists.pop_front();
        }
        self.lists.push_back((now, vms));
    }

    /// Returns the list as it was `lag` ago, or the oldest one if there was none yet.
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
