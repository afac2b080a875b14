//! Orders: models, adapters and roles, guarded by fencing numbers.

use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::wire::engine::Order;
use jujubewind::wire::engine::OrderKind;
use jujubewind::wire::engine::OrderResult;

use super::EngineCore;
use super::Error;
use super::Result;

impl EngineCore {
    /// Carries out an order.
    ///
    /// # Errors
    /// Its fencing number is older than one seen before, unless the faults say to ignore that.
    pub fn execute_order(&mut self, now: MonoTime, order: &Order) -> Result<OrderResult> {
        self.check_up(now)?;
        if order.fence < self.fence && !self.faults.ignore_fences {
            return Err(Error::StaleFence);
        }
        self.fence = self.fence.max(order.fence);
        self.apply_order(now, order);
        Ok(OrderResult {
            fence: self.fence,
            loaded: self.loaded.clone(),
        })
    }

    /// Whether the model or adapter `name` is loaded, in whatever version.
    #[must_use]
    pub fn is_loaded(&self, name: &str) -> bool {
        self.loaded.iter().any(|loaded| base_name(loaded) == name)
    }

    fn apply_order(&mut self, now: MonoTime, order: &Order) {
        match order.kind {
            OrderKind::LoadModel => self.load_weights(now, order, self.config.model_load),
            OrderKind::LoadAdapter => self.load_weights(now, order, self.config.adapter_load),
            OrderKind::SetRole => {}
            OrderKind::Unload => self.unload(&order.name),
        }
    }

    fn load_weights(&mut self, now: MonoTime, order: &Order, time: Millis) {
        let full = match &order.version {
            Some(version) => format!("{}@{version}", order.name),
            None => order.name.clone(),
        };
        if self.loaded.contains(&full) {
            return;
        }
        self.unload(&order.name);
        self.loaded.push(full);
        self.busy_until = self.busy_until.max(now).after(time);
    }

    fn unload(&mut self, name: &str) {
        self.loaded.retain(|loaded| base_name(loaded) != name);
    }
}

fn base_name(loaded: &str) -> &str {
    loaded.split('@').next().unwrap_or(loaded)
}
