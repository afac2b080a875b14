//! Catalogue files before validation.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;

use super::Entry;
use super::Error;
use super::Fault;
use super::Problem;
use super::Result;

/// Top level of a catalogue file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    entries: Vec<Entry>,
}

/// A catalogue file; its text is kept to find line numbers for error messages.
#[derive(Clone, Debug)]
pub struct Source {
    /// The path shown in messages.
    pub file: String,
    /// The contents.
    pub text: String,
}

impl Source {
    /// Reads all YAML files of a catalogue directory, ordered by name.
    ///
    /// # Errors
    /// Fails if the directory or a file cannot be read, or if there is no YAML file.
    pub fn read_dir(dir: &Path) -> Result<Vec<Self>> {
        let mut paths = Vec::new();
        for item in fs::read_dir(dir).map_err(unreadable(dir))? {
            paths.push(item.map_err(unreadable(dir))?.path());
        }
        paths.retain(|path| is_yaml(path));
        paths.sort();
        if paths.is_empty() {
            return Err(Error::Empty(dir.to_owned()));
        }
        paths.iter().map(|path| Self::read(path)).collect()
    }

    fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(unreadable(path))?;
        Ok(Self {
            file: path.display().to_string(),
            text,
        })
    }

    /// Parses the entries of the file.
    ///
    /// # Errors
    /// Fails if the text is not valid YAML or does not match the schema.
    pub fn parse(&self) -> std::result::Result<Vec<Entry>, Fault> {
        let file: File = serde_norway::from_str(&self.text).map_err(|cause| self.fault(&cause))?;
        Ok(file.entries)
    }

    /// Splits a parser error into key and message; the line number is a separate field.
    fn fault(&self, cause: &serde_norway::Error) -> Fault {
        let message = cause.to_string();
        let message = message.split(" at line ").next().unwrap_or_default();
        let (key, message) = match message.split_once(": ") {
            Some((key, rest)) if key.starts_with("entries") => (key, rest),
            _ => ("", message),
        };
        Fault {
            file: self.file.clone(),
            line: cause.location().map(|location| location.line()),
            key: key.to_owned(),
            problem: Problem::Syntax(message.to_owned()),
        }
    }
}

fn is_yaml(path: &Path) -> bool {
    path.extension()
        .is_some_and(|ext| ext == "yaml" || ext == "yml")
}

fn unreadable(path: &Path) -> impl Fn(std::io::Error) -> Error {
    let path = PathBuf::from(path);
    move |cause| Error::Unreadable(path.clone(), cause)
}
