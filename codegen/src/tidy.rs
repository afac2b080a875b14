//! Removes redundant parts of generated code and adds the comments that it lacks.

use syn::Attribute;
use syn::Expr;
use syn::File;
use syn::GenericArgument;
use syn::Item;
use syn::ItemImpl;
use syn::Lit;
use syn::Meta;
use syn::PathArguments;
use syn::Type;

/// The start of the copy of the schema in a generated comment.
const SCHEMA_COPY_START: &str = "<details>";

/// Removes copies of the schema from comments and unused conversions, and documents enum variants.
pub(crate) fn tidy(mut file: File) -> File {
    file.items.retain(|item| !is_redundant(item));
    for item in &mut file.items {
        tidy_item(item);
    }
    file
}

fn is_redundant(item: &Item) -> bool {
    match item {
        Item::Impl(item) => is_unused_conversion(item),
        _ => false,
    }
}

/// Whether this is `From<&T> for T` or a `TryFrom` that only calls `FromStr`.
fn is_unused_conversion(item: &ItemImpl) -> bool {
    let Some((_, path, _)) = &item.trait_ else {
        return false;
    };
    let Some(segment) = path.segments.last() else {
        return false;
    };
    let PathArguments::AngleBracketed(args) = &segment.arguments else {
        return false;
    };
    let from_reference = matches!(
        args.args.first(),
        Some(GenericArgument::Type(Type::Reference(source))) if source.lifetime.is_none()
    );
    segment.ident == "TryFrom" || (segment.ident == "From" && from_reference)
}

fn tidy_item(item: &mut Item) {
    match item {
        Item::Struct(item) => {
            tidy_docs(&mut item.attrs);
            for field in &mut item.fields {
                tidy_docs(&mut field.attrs);
            }
        }
        Item::Enum(item) => {
            tidy_docs(&mut item.attrs);
            for variant in &mut item.variants {
                document_variant(variant);
            }
        }
        Item::Mod(item) => {
            for inner in item.content.iter_mut().flat_map(|(_, items)| items) {
                tidy_item(inner);
            }
        }
        _ => {}
    }
}

/// Adds the variant's name as a comment if it has none, for the `missing_docs` lint.
fn document_variant(variant: &mut syn::Variant) {
    if variant.attrs.iter().any(|attr| attr.path().is_ident("doc")) {
        return;
    }
    let text = format!(" `{}`", variant.ident);
    variant.attrs.insert(0, syn::parse_quote!(#[doc = #text]));
}

/// Keeps only the non-empty lines of a comment before the copy of the schema.
fn tidy_docs(attrs: &mut Vec<Attribute>) {
    let is_doc = |attr: &Attribute| attr.path().is_ident("doc");
    let lines: Vec<String> = attrs.iter().filter_map(doc_text).collect();
    let text = lines.join("\n");
    let kept = text.split(SCHEMA_COPY_START).next().unwrap_or_default();
    attrs.retain(|attr| !is_doc(attr));
    let lines = kept.lines().map(str::trim).filter(|line| !line.is_empty());
    for (index, line) in lines.enumerate() {
        let line = format!(" {line}");
        attrs.insert(index, syn::parse_quote!(#[doc = #line]));
    }
}

fn doc_text(attr: &Attribute) -> Option<String> {
    let Meta::NameValue(meta) = &attr.meta else {
        return None;
    };
    let Expr::Lit(expr) = &meta.value else {
        return None;
    };
    let Lit::Str(text) = &expr.lit else {
        return None;
    };
    attr.path().is_ident("doc").then(|| text.value())
}
