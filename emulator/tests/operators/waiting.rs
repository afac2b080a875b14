//! `catalogue apply --wait` against stub entries.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hyper::StatusCode;
use jujube_emulator::http::Call;
use jujube_emulator::http::Handler;
use jujube_emulator::http::HangUp;
use jujube_emulator::http::Reply;
use jujube_emulator::http::RunningServer;
use jujube_emulator::http::json;
use jujubewind::entry::EntryStatus;
use jujubewind::types::Incarnation;
use jujubewind::types::Revision;

use crate::declaration::entry;
use crate::test_platform::TestPlatform;

/// A stub entry whose revision in `GET /status` grows by one with each request, up to a limit.
struct StubEntry {
    requests: Arc<AtomicU64>,
    limit: u64,
}

impl Handler for StubEntry {
    async fn handle(self: Rc<Self>, _: Call) -> Result<Reply, HangUp> {
        let revision = self.requests.fetch_add(1, Ordering::Relaxed);
        let status = EntryStatus {
            node: "e1".parse().expect("a name"),
            incarnation: Incarnation(1),
            domain: "d1".parse().expect("a name"),
            revision: Revision(revision.min(self.limit)),
            confirmed: None,
            stopping: false,
            members: Vec::new(),
        };
        Ok(json(StatusCode::OK, &status))
    }
}

fn start_stub(limit: u64) -> RunningServer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let requests = Arc::new(AtomicU64::new(0));
    let serve = move |listener| {
        jujube_emulator::http::serve(listener, Rc::new(StubEntry { requests, limit }))
    };
    RunningServer::start(listener, serve).expect("the stub starts")
}

#[test]
fn a_wait_ends_when_every_entry_has_the_revision() {
    let (quick, slow) = (start_stub(9), start_stub(9));
    let platform = TestPlatform::new();
    let operator = platform
        .operator("anna")
        .with_entries(&[entry("a1", "office-a", 3)]);

    let args = format!("--base 0 --wait --entries {},{}", quick.addr, slow.addr);
    let output = operator.apply(&args).expect_exit(0);

    assert!(
        output.stderr.contains("waiting: revision 1 at 0 of 2"),
        "{output:?}"
    );
    assert!(
        output.stdout.contains("in force at every entry after"),
        "{output:?}"
    );
}

#[test]
fn a_wait_that_times_out_names_the_lagging_entries() {
    let platform = TestPlatform::new();
    let (current, old) = (start_stub(9), start_stub(0));
    let operator = platform
        .operator("anna")
        .with_entries(&[entry("a1", "office-a", 3)]);

    let entries = format!("--entries {},{}", current.addr, old.addr);
    let output = operator
        .apply(&format!("--base 0 --wait {entries} --timeout 400"))
        .expect_exit(6);

    assert!(output.stdout.contains("accepted: revision 1"), "{output:?}");
    assert!(
        output.stdout.contains(&format!("{} at 0", old.addr)),
        "{output:?}"
    );
}
