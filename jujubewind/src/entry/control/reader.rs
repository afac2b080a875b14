//! The reader of the store: one entry of each failure domain watches the catalogue's head.

use flume::Receiver;
use flume::Sender;

use super::message::Message;
use crate::catalogue::Remote;
use crate::catalogue::follow::Answer;
use crate::catalogue::follow::Ask;
use crate::lease::LeaseHolder;
use crate::lease::LeaseTerms;
use crate::membership::Seed;
use crate::settings::EntrySettings;
use crate::store::Client;
use crate::store::Notice;
use crate::store::Watch;
use crate::timer::Clock;
use crate::timer::TimerService;
use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::NodeId;

/// How often the reader looks after its lease and its watch.
const PERIOD: Millis = Millis(100);
/// How often the reader reads the head, for a watch that fell silent.
const READING: Millis = Millis(1_000);
/// How often the reader reads the platform's list of VMs.
const LISTING: Millis = Millis(3_000);
/// How long the lease lasts.
const LEASE: Millis = Millis(2_000);

/// Stands for the lease while told to, and reads while it holds it.
struct Reader {
    node: NodeId,
    domain: DomainId,
    incarnation: Incarnation,
    clock: Clock,
    client: Client,
    remote: Remote,
    messages: Sender<Message>,
    lease: Option<LeaseHolder>,
    /// Whether the lease is being given back.
    ending: bool,
    watch: Option<Watch>,
    /// When the head is read next.
    next: MonoTime,
    /// When the list of VMs is read next.
    listing: MonoTime,
}

/// Starts the task; what it receives says whether this entry stands for the lease.
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
        remote: Remote::new(client.clone()),
        client,
        messages,
        lease: None,
        ending: false,
        watch: None,
        next: MonoTime::ZERO,
        listing: MonoTime::ZERO,
    };
    let (tx, rx) = flume::unbounded();
    compio::runtime::spawn(reader.run(timer.subscribe(PERIOD), rx)).detach();
    tx
}

impl Reader {
    async fn run(mut self, ticks: Receiver<MonoTime>, stands: Receiver<bool>) {
        while ticks.recv_async().await.is_ok() {
            if let Some(stand) = stands.drain().last() {
                self.stand(stand);
            }
            self.renew().await;
            self.read().await;
        }
    }

    fn stand(&mut self, stand: bool) {
        match &mut self.lease {
            Some(lease) if !stand => {
                lease.stop();
                self.ending = true;
            }
            None if stand => {
                let name = format!("reader/{}", self.domain);
                let terms = LeaseTerms::with_ttl(LEASE);
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
        } else if self.ending && lease.valid_fence(self.clock.now()).is_none() {
            self.lease = None;
            self.ending = false;
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
            self.watch = Some(Watch::start(self.client.clone(), Remote::head_key()));
            self.next = now;
        }
        while let Some(notice) = self.watch.as_ref().and_then(Watch::try_next) {
            self.take(now, &notice);
        }
        if now >= self.next {
            self.next = now.after(READING);
            if let Answer::Head(head) = self.remote.answer(&Ask::Head).await {
                let _ = self.messages.send(Message::StoreHead(head));
            }
        }
        if now >= self.listing {
            self.listing = now.after(LISTING);
            self.list_vms().await;
        }
    }

    /// Tells membership of the platform's list; a line that cannot be read is passed over.
    async fn list_vms(&self) {
        match self.client.vms().await {
            Ok(list) => {
                let seeds = list.vms.iter().filter_map(|vm| Seed::try_from(vm).ok());
                let _ = self.messages.send(Message::VmList(seeds.collect()));
            }
            Err(error) => crate::event!(warn, "vm_list_unread", error = error),
        }
    }

    fn take(&mut self, now: MonoTime, notice: &Notice) {
        match notice {
            Notice::Opened | Notice::Broken => self.next = now,
            Notice::Written(entry) => {
                if let Some(head) = Remote::head_of(entry) {
                    let _ = self.messages.send(Message::StoreHead(Some(head)));
                }
            }
        }
    }
}
