//! What an entry needs to claim calls in the platform's store.

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

/// The longest wait for one answer of the store.
const TIMEOUT: Millis = Millis(1_000);

/// The store, the lease of new claims, and who makes them.
#[derive(Clone, Debug)]
pub struct Claims {
    pub(super) store: Store,
    pub(super) holder: Holder,
    leases: Sender<Sender<Option<LeaseId>>>,
}

impl Claims {
    /// Starts the tasks that own the store's client and the retention lease.
    ///
    /// # Errors
    /// The HTTP client cannot be set up.
    pub fn start(platform: SocketAddr, holder: Holder, timer: &TimerService) -> Result<Self> {
        let client = Client::new(platform, TIMEOUT)?;
        let store = Store::start(client, timer.clock());
        let leases = retention_task::start(store.clone(), timer);
        Ok(Self {
            store,
            holder,
            leases,
        })
    }

    /// The lease for a new claim; `None` if the store gave none.
    pub(super) async fn lease(&self) -> Option<LeaseId> {
        let (tx, rx) = flume::bounded(1);
        self.leases.send(tx).ok()?;
        rx.recv_async().await.ok().flatten()
    }
}
