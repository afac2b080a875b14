//! The store access with which an entry claims calls.

use std::net::SocketAddr;

use flume::Sender;

use super::retention_task;
use crate::claims::Holder;
use crate::store::Client;
use crate::store::LeaseId;
use crate::store::Result;
use crate::store::Store;
use crate::timer::TimerService;
use crate::types::Millis;

/// Timeout of one call to the store.
const STORE_TIMEOUT: Millis = Millis(1_000);

/// The store, the lease for new claims, and the process that holds them.
#[derive(Clone, Debug)]
pub struct Claims {
    pub(super) store: Store,
    pub(super) holder: Holder,
    leases: Sender<Sender<Option<LeaseId>>>,
}

impl Claims {
    /// Starts the tasks that own the store client and the retention lease.
    ///
    /// # Errors
    /// The HTTP client cannot be created.
    pub fn start(platform: SocketAddr, holder: Holder, timer: &TimerService) -> Result<Self> {
        let client = Client::new(platform, STORE_TIMEOUT)?;
        let store = Store::start(client, timer.clock());
        let leases = retention_task::start(store.clone(), timer);
        Ok(Self {
            store,
            holder,
            leases,
        })
    }

    /// Returns a handle on the store's task.
    pub fn store(&self) -> Store {
        self.store.clone()
    }

    /// Returns the lease for a new record that is kept for days; `None` if the store granted none.
    pub async fn lease(&self) -> Option<LeaseId> {
        let (tx, rx) = flume::bounded(1);
        self.leases.send(tx).ok()?;
        rx.recv_async().await.ok().flatten()
    }
}
