//! A daemon of the product on a thread of its own.

use std::io;
use std::pin::pin;
use std::thread::JoinHandle;

use compio::runtime::Runtime;
use flume::Receiver;
use flume::Sender;
use futures::future::Either;
use futures::future::select;
use jujubewind::rpc::TimeDriver;

/// A daemon on a thread of its own; it is cut off when this is dropped.
#[derive(Debug)]
pub(super) struct Role {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<anyhow::Result<()>>>,
}

impl Role {
    /// Runs `daemon` with `settings` on a new thread.
    pub(super) fn start<S: Send + 'static>(
        name: &str,
        settings: S,
        daemon: impl AsyncFnOnce(S) -> anyhow::Result<()> + Send + 'static,
    ) -> io::Result<Self> {
        let (stop, stopped) = flume::bounded(0);
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || serve(settings, daemon, &stopped))?;
        Ok(Self {
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Why the daemon has ended by itself, if it has.
    pub(super) fn failure(&mut self) -> Option<anyhow::Error> {
        let thread = self.thread.take_if(|thread| thread.is_finished())?;
        match thread.join() {
            Ok(Err(error)) => Some(error),
            Ok(Ok(())) => Some(anyhow::anyhow!("it was told to stop")),
            Err(_) => Some(anyhow::anyhow!("it panicked")),
        }
    }
}

impl Drop for Role {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve<S>(
    settings: S,
    daemon: impl AsyncFnOnce(S) -> anyhow::Result<()>,
    stopped: &Receiver<()>,
) -> anyhow::Result<()> {
    let driver = TimeDriver::start()?;
    let _timers = driver.enter();
    Runtime::new()?.block_on(async {
        let served = pin!(daemon(settings));
        let stopped = pin!(stopped.recv_async());
        match select(served, stopped).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => Ok(()),
        }
    })
}
