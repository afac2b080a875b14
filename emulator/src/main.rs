//! Command-line tool that runs the emulators and the load generator.

fn main() -> anyhow::Result<()> {
    jujube_emulator::cli::run(jujube_emulator::cli::command().run())
}
