//! Runs stand-ins and experiments.

fn main() {}
