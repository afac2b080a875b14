//! The `jujube-emulator` command, which prints its address on its first line.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// An emulator process, killed on drop.
struct Process(Child);

impl Process {
    fn start(args: &[&str]) -> Self {
        let command = env!("CARGO_BIN_EXE_jujube-emulator");
        let child = Command::new(command)
            .args(args)
            .stdout(Stdio::piped())
            .spawn();
        Self(child.expect("the emulator starts"))
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
fn each_emulator_prints_its_address() {
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
fn the_whole_system_stays_up_until_it_is_interrupted() {
    let args = ["up", "--engines", "1", "--port", "0", "--speed", "50"];
    let mut process = Process::start(&args);
    let stdout = process.0.stdout.take().expect("its output is piped");
    let lines = BufReader::new(stdout).lines().map_while(Result::ok);

    let instructions: Vec<String> = lines
        .take_while(|line| !line.starts_with("platform"))
        .collect();
    let pid = i32::try_from(process.0.id()).expect("a valid pid");
    kill(Pid::from_raw(pid), Signal::SIGINT).expect("a running process");

    let curls = instructions.iter().filter(|line| line.starts_with("curl "));
    assert_eq!(curls.count(), 3, "{instructions:?}");
    assert!(process.0.wait().expect("the exit status").success());
}

#[test]
fn a_missing_listen_address_is_named() {
    let command = env!("CARGO_BIN_EXE_jujube-emulator");

    let output = Command::new(command).arg("service").output();

    let output = output.expect("the command runs");
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(message.contains("--listen"), "{message}");
}
