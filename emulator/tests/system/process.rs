//! Process under test.

use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;

use nix::sys::signal::Signal;
use nix::unistd::Pid;

/// Running process that is killed when dropped.
pub struct Process {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a binary of this workspace.
    pub fn start(binary: &str, args: &[String]) -> Self {
        let mut child = Command::new(path(binary))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts; build the whole workspace first");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let sink = log.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                sink.lock().expect("the log is usable").push(line);
            }
        });
        Self { child, log }
    }

    /// Process id.
    #[allow(dead_code, reason = "the measurement of daemons uses it")]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.pid()).expect("a pid is small"));
        nix::sys::signal::kill(pid, signal).expect("the process exists");
    }

    /// Waits for the process to exit and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.child
            .wait()
            .expect("the process can be waited for")
            .success()
    }

    /// Log so far.
    pub fn log(&self) -> String {
        self.log.lock().expect("the log is usable").join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of a binary of this workspace; all are in the same folder.
pub fn path(binary: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_jujube-emulator")).with_file_name(binary)
}
