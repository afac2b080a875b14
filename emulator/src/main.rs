//! Runs stand-ins and experiments.

fn main() -> anyhow::Result<()> {
    jujube_emulator::cli::run(jujube_emulator::cli::command().run())
}
