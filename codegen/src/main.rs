//! Regenerates the committed message types: `cargo run -p codegen`.

use std::fs;
use std::path::Path;

use anyhow::Context;

fn main() -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for name in codegen::INTERFACES {
        let from = root.join("schema").join(format!("{name}.json"));
        let to = root.join("jujubewind/src/wire").join(format!("{name}.rs"));
        let schema = fs::read_to_string(&from).with_context(|| from.display().to_string())?;
        let code = codegen::generate(&schema)?;
        fs::write(&to, code).with_context(|| to.display().to_string())?;
    }
    Ok(())
}
