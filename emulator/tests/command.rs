//! The command itself: its first line tells where it listens.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// A stand-in as a process; it is ended when this is dropped.
struct Process(Child);

impl Process {
    fn start(args: &[&str]) -> Self {
        let command = env!("CARGO_BIN_EXE_jujube-emulator");
        let child = Command::new(command)
            .args(args)
            .stdout(Stdio::piped())
            .spawn();
        Self(child.expect("the stand-in starts"))
    }

    fn addr(&mut self) -> SocketAddr {
        let stdout = self.0.stdout.take().expect("its output is piped");
        let mut line = String::new();
        let read = BufReader::new(stdout).read_line(&mut line);
        read.expect("a line");
        let addr = line.trim().strip_prefix("listening addr=");
        addr.expect("an address").parse().expect("a valid address")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn each_stand_in_tells_where_it_listens() {
    let listen = ["--listen", "127.0.0.1:0"];
    let commands = [
        [&["engine", "--model", "m"], &listen[..]].concat(),
        [&["platform"], &listen[..]].concat(),
        [&["service"], &listen[..]].concat(),
    ];

    for command in commands {
        let mut process = Process::start(&command);

        let addr = process.addr();

        assert!(TcpStream::connect(addr).is_ok(), "{command:?}");
    }
}

#[test]
fn a_missing_address_is_named() {
    let command = env!("CARGO_BIN_EXE_jujube-emulator");

    let output = Command::new(command).arg("service").output();

    let output = output.expect("the command runs");
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(message.contains("--listen"), "{message}");
}
