//! Runs a server on its own thread.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::pin::pin;
use std::thread::JoinHandle;

use compio::runtime::Runtime;
use flume::Receiver;
use flume::Sender;
use futures::future::select;

/// A server on its own thread; dropping this stops it.
#[derive(Debug)]
pub struct RunningServer {
    /// Address of the server.
    pub addr: SocketAddr,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningServer {
    /// Runs `serve` with `listener` on a new thread.
    ///
    /// # Errors
    /// The listener has no address, or the thread cannot be started.
    pub fn start<F>(
        listener: TcpListener,
        serve: impl FnOnce(TcpListener) -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = io::Result<()>>,
    {
        let addr = listener.local_addr()?;
        let (stop, stopped) = flume::bounded(0);
        let thread = std::thread::Builder::new()
            .name(format!("stand-in-{}", addr.port()))
            .spawn(move || run(listener, serve, &stopped))?;
        Ok(Self {
            addr,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Root URL of the server.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run<F>(listener: TcpListener, serve: impl FnOnce(TcpListener) -> F, stopped: &Receiver<()>)
where
    F: Future<Output = io::Result<()>>,
{
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("event=stand_in_failed error=\"{error}\"");
            return;
        }
    };
    runtime.block_on(async {
        let served = pin!(serve(listener));
        let stopped = pin!(stopped.recv_async());
        select(served, stopped).await;
    });
}
