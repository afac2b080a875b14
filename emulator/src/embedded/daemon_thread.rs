//! Runs a jujubewind daemon on its own thread.

use std::io;
use std::pin::pin;
use std::thread::JoinHandle;

use compio::runtime::Runtime;
use flume::Receiver;
use flume::Sender;
use futures::future::Either;
use futures::future::select;
use jujubewind::rpc::TimeDriver;

/// A daemon on its own thread; dropping this stops it without draining.
#[derive(Debug)]
pub(super) struct DaemonThread {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<anyhow::Result<()>>>,
}

impl DaemonThread {
    /// Starts `daemon` with `settings` on a new thread.
    pub(super) fn start<S: Send + 'static>(
        name: &str,
        settings: S,
        daemon: impl AsyncFnOnce(S) -> anyhow::Result<()> + Send + 'static,
    ) -> io::Result<Self> {
        let (stop, stopped) = flume::bounded(0);
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(settings, daemon, &stopped))?;
        Ok(Self {
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Error of the daemon if it has exited on its own.
    pub(super) fn failure(&mut self) -> Option<anyhow::Error> {
        let thread = self.thread.take_if(|thread| thread.is_finished())?;
        match thread.join() {
            Ok(Err(error)) => Some(error),
            Ok(Ok(())) => Some(anyhow::anyhow!("it received a stop signal")),
            Err(_) => Some(anyhow::anyhow!("it panicked")),
        }
    }
}

impl Drop for DaemonThread {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run<S>(
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
            Either::Left((result, _)) => result,
            Either::Right(_) => Ok(()),
        }
    })
}
