//! Orders to load and unload models and adapters and to set roles, guarded by fencing tokens.

use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::wire::engine::Order;
use jujubewind::wire::engine::OrderKind;
use jujubewind::wire::engine::OrderResult;

use super::EngineCore;
use super::Error;
use super::Result;

impl EngineCore {
    /// Executes an order.
    ///
    /// # Errors
    /// The engine is down, or the fencing token is older than one seen before and the faults do not
    /// disable that check.
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

    /// Returns whether any version of the model or adapter `name` is loaded.
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

    fn load_weights(&mut self, now: MonoTime, order: &Order, duration: Millis) {
        let versioned = match &order.version {
            Some(version) => format!("{}@{version}", order.name),
            None => order.name.clone(),
        };
        if self.loaded.contains(&versioned) {
            return;
        }
        self.unload(&order.name);
        self.loaded.push(versioned);
        self.busy_until = self.busy_until.max(now).after(duration);
    }

    fn unload(&mut self, name: &str) {
        self.loaded.retain(|loaded| base_name(loaded) != name);
    }
}

fn base_name(loaded: &str) -> &str {
    loaded.split('@').next().unwrap_or(loaded)
}
