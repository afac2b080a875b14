//! A retry that a service's budget granted.

use super::Control;
use super::Message;
use crate::direct::ServiceId;
use crate::types::MonoTime;

/// One retry of a service; it goes back to the budget if it is dropped before anything was sent.
#[derive(Debug)]
pub struct Retry {
    control: Control,
    service: ServiceId,
    taken: MonoTime,
    is_spent: bool,
}

impl Retry {
    pub(super) const fn new(control: Control, service: ServiceId, taken: MonoTime) -> Self {
        Self {
            control,
            service,
            taken,
            is_spent: false,
        }
    }

    /// Keeps the retry counted, as something is sent for it.
    pub fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for Retry {
    fn drop(&mut self) {
        if !self.is_spent {
            self.control.send(Message::UnusedRetry {
                service: self.service.clone(),
                taken: self.taken,
            });
        }
    }
}
