//! `catalogue apply --wait`, with stand-ins for entries.

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
use crate::site::Site;

/// Answers `GET /status` and takes a revision more each time it is asked, up to a limit.
struct Stub {
    asked: Arc<AtomicU64>,
    limit: u64,
}

impl Handler for Stub {
    async fn handle(self: Rc<Self>, _: Call) -> Result<Reply, HangUp> {
        let asked = self.asked.fetch_add(1, Ordering::Relaxed);
        let status = EntryStatus {
            node: "e1".parse().expect("a name"),
            incarnation: Incarnation(1),
            domain: "d1".parse().expect("a name"),
            revision: Revision(asked.min(self.limit)),
            confirmed: None,
            stopping: false,
            members: Vec::new(),
        };
        Ok(json(StatusCode::OK, &status))
    }
}

fn stub(limit: u64) -> RunningServer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let asked = Arc::new(AtomicU64::new(0));
    let serve =
        move |listener| jujube_emulator::http::serve(listener, Rc::new(Stub { asked, limit }));
    RunningServer::start(listener, serve).expect("the stub starts")
}

#[test]
fn a_wait_ends_when_every_entry_has_the_revision() {
    let (quick, slow) = (stub(9), stub(9));
    let site = Site::new();
    let operator = site
        .operator("anna")
        .declares(&[entry("a1", "office-a", 3)]);

    let words = format!("--base 0 --wait --entries {},{}", quick.addr, slow.addr);
    let finding = operator.apply(&words).exits(0);

    assert!(
        finding.stderr.contains("waiting: revision 1 at 0 of 2"),
        "{finding:?}"
    );
    assert!(
        finding.stdout.contains("in force at every entry after"),
        "{finding:?}"
    );
}

#[test]
fn a_wait_whose_time_is_up_says_who_lags() {
    let site = Site::new();
    let (current, old) = (stub(9), stub(0));
    let operator = site
        .operator("anna")
        .declares(&[entry("a1", "office-a", 3)]);

    let entries = format!("--entries {},{}", current.addr, old.addr);
    let finding = operator
        .apply(&format!("--base 0 --wait {entries} --timeout 400"))
        .exits(6);

    assert!(
        finding.stdout.contains("accepted: revision 1"),
        "{finding:?}"
    );
    assert!(
        finding.stdout.contains(&format!("{} at 0", old.addr)),
        "{finding:?}"
    );
}
