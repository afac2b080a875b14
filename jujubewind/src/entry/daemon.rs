//! The entry's start: its sockets and tasks.

use std::rc::Rc;

use compio::net::TcpListener;

use super::api::Api;
use super::control;
use super::link::Link;
use crate::http;
use crate::settings::EntrySettings;
use crate::timer::Clock;

/// Serves until the process is stopped.
///
/// # Errors
/// An address cannot be bound, or the catalogue folder is faulty.
pub async fn run(settings: EntrySettings) -> anyhow::Result<()> {
    let clock = Clock::start();
    let link = Link::new(settings.node.clone(), crate::daemon::incarnation());
    let control = control::start(&settings, &link)?;
    let listener = TcpListener::bind(settings.listen).await?;
    let node = settings.node.clone();
    crate::event!(
        info,
        "listening",
        node = node,
        addr = listener.local_addr()?
    );
    let api = Api::new(settings, clock, link, control);
    http::serve(listener, Rc::new(api)).await;
    Ok(())
}
