//! The store reader: one entry of each failure domain holds a lease and watches the catalogue head.

use flume::Receiver;
use flume::Sender;

use super::message::Message;
use crate::catalogue::CatalogueStore;
use crate::catalogue::follow::Answer;
use crate::catalogue::follow::Query;
use crate::lease::LeaseHolder;
use crate::lease::LeaseTerms;
use crate::membership::Seed;
use crate::settings::EntrySettings;
use crate::store::Client;
use crate::store::Watch;
use crate::store::WatchEvent;
use crate::timer::Clock;
use crate::timer::TimerService;
use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::NodeId;

/// How often the reader renews its lease and polls its watch.
const TICK_PERIOD: Millis = Millis(100);
/// How often the reader reads the head itself, in case the watch has stalled.
const HEAD_PERIOD: Millis = Millis(1_000);
/// How often the reader reads the platform's list of VMs.
const VM_LIST_PERIOD: Millis = Millis(3_000);
/// Time to live of the reader lease.
const LEASE_TTL: Millis = Millis(2_000);

/// Competes for the lease while enabled, and reads the store while it holds the lease.
struct Reader {
    node: NodeId,
    domain: DomainId,
    incarnation: Incarnation,
    clock: Clock,
    client: Client,
    remote: CatalogueStore,
    messages: Sender<Message>,
    lease: Option<LeaseHolder>,
    /// Whether the lease is being released.
    releasing: bool,
    watch: Option<Watch>,
    /// When the head is read next.
    next_head: MonoTime,
    /// When the list of VMs is read next.
    next_vm_list: MonoTime,
}

/// Starts the task; the returned sender switches whether this entry competes for the lease.
pub(super) fn start(
    settings: &EntrySettings,
    incarnation: Incarnation,
    timer: &TimerService,
    client: Client,
    messages: Sender<Message>,
) -> Sender<bool> {
    let reader = Reader {
        node: settings.node.clone(),
        domain: settings.domain.clone(),
        incarnation,
        clock: timer.clock(),
        remote: CatalogueStore::new(client.clone()),
        client,
        messages,
        lease: None,
        releasing: false,
        watch: None,
        next_head: MonoTime::ZERO,
        next_vm_list: MonoTime::ZERO,
    };
    let (tx, rx) = flume::unbounded();
    compio::runtime::spawn(reader.run(timer.subscribe(TICK_PERIOD), rx)).detach();
    tx
}

impl Reader {
    async fn run(mut self, ticks: Receiver<MonoTime>, candidacy: Receiver<bool>) {
        while ticks.recv_async().await.is_ok() {
            if let Some(is_candidate) = candidacy.drain().last() {
                self.set_candidate(is_candidate);
            }
            self.renew().await;
            self.read().await;
        }
    }

    fn set_candidate(&mut self, is_candidate: bool) {
        match &mut self.lease {
            Some(lease) if !is_candidate => {
                lease.stop();
                self.releasing = true;
            }
            None if is_candidate => {
                let name = format!("reader/{}", self.domain);
                let terms = LeaseTerms::with_ttl(LEASE_TTL);
                let node = self.node.clone();
                self.lease = Some(LeaseHolder::new(&name, node, self.incarnation, terms));
            }
            _ => {}
        }
    }

    async fn renew(&mut self) {
        let Some(lease) = &mut self.lease else {
            return;
        };
        if let Some(op) = lease.poll(self.clock.now()) {
            let outcome = self.client.call(&op).await;
            lease.settle(self.clock.now(), outcome);
        } else if self.releasing && lease.valid_fence(self.clock.now()).is_none() {
            self.lease = None;
            self.releasing = false;
        }
    }

    async fn read(&mut self) {
        let now = self.clock.now();
        let lease = self.lease.as_ref();
        if lease.and_then(|lease| lease.valid_fence(now)).is_none() {
            self.watch = None;
            return;
        }
        if self.watch.is_none() {
            crate::event!(info, "reading_store", domain = self.domain);
            self.watch = Some(Watch::start(
                self.client.clone(),
                CatalogueStore::head_key(),
            ));
            self.next_head = now;
        }
        while let Some(event) = self.watch.as_ref().and_then(Watch::try_next) {
            self.handle_watch_event(now, &event);
        }
        if now >= self.next_head {
            self.next_head = now.after(HEAD_PERIOD);
            if let Answer::Head(head) = self.remote.answer(&Query::Head).await {
                let _ = self.messages.send(Message::StoreHead(head));
            }
        }
        if now >= self.next_vm_list {
            self.next_vm_list = now.after(VM_LIST_PERIOD);
            self.list_vms().await;
        }
    }

    /// Passes the platform's list of VMs to membership; skips VMs that cannot be parsed.
    async fn list_vms(&self) {
        match self.client.vms().await {
            Ok(list) => {
                let seeds = list.vms.iter().filter_map(|vm| Seed::try_from(vm).ok());
                let _ = self.messages.send(Message::VmList(seeds.collect()));
            }
            Err(error) => crate::event!(warn, "vm_list_unread", error = error),
        }
    }

    fn handle_watch_event(&mut self, now: MonoTime, event: &WatchEvent) {
        match event {
            WatchEvent::Opened | WatchEvent::Broken => self.next_head = now,
            WatchEvent::Written(entry) => {
                if let Some(head) = CatalogueStore::head_of(entry) {
                    let _ = self.messages.send(Message::StoreHead(Some(head)));
                }
            }
        }
    }
}
