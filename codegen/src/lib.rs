//! Generates the message types of `jujubewind::wire` from the JSON Schemas in `schema/`.

mod error;
mod tidy;

pub use error::Error;
pub use error::Result;

use schemars::schema::RootSchema;
use typify::TypeSpace;
use typify::TypeSpaceImpl;
use typify::TypeSpaceSettings;

/// The interfaces that have a schema, by file stem.
pub const INTERFACES: [&str; 4] = ["openai", "engine", "platform", "service"];

/// Types that are written by hand, because their JSON form differs from their Rust form.
const HANDWRITTEN: [&str; 3] = ["Int64", "Uint64", "Base64"];

/// Generates the Rust source for the JSON Schema `schema`.
///
/// # Errors
/// The schema is not valid, or cannot be converted to types.
pub fn generate(schema: &str) -> Result<String> {
    let mut root: RootSchema = serde_json::from_str(schema)?;
    let title = root.schema.metadata.take().and_then(|meta| meta.title);
    let mut space = TypeSpace::new(&settings());
    space.add_root_schema(root).map_err(Error::Convert)?;
    let file = syn::parse2(space.to_stream())?;
    let source = prettyplease::unparse(&tidy::tidy(file));
    let title = title.unwrap_or_default();
    Ok(format!(
        "//! {title}; generated from its JSON Schema.\n\n{source}"
    ))
}

fn settings() -> TypeSpaceSettings {
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    for name in HANDWRITTEN {
        let path = format!("crate::wire::{name}");
        settings.with_replacement(name, path, std::iter::empty::<TypeSpaceImpl>());
    }
    settings
}
