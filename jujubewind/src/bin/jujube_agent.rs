//! The agent daemon.

fn main() {}
