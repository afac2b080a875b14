//! A catalogue file as an operator wrote it.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;

use super::Entry;
use super::Error;
use super::Fault;
use super::Problem;
use super::Result;

/// The form of a catalogue file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    entries: Vec<Entry>,
}

/// One file: its name, and its text for the line numbers of messages.
#[derive(Clone, Debug)]
pub struct Source {
    /// The path, as messages show it.
    pub file: String,
    /// The text.
    pub text: String,
}

impl Source {
    /// Reads all files of a catalogue directory, ordered by name.
    ///
    /// # Errors
    /// The directory cannot be read or has no `.yaml` file.
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

    /// The entries of the file.
    ///
    /// # Errors
    /// The text is not YAML of the expected form.
    pub fn parse(&self) -> std::result::Result<Vec<Entry>, Fault> {
        let file: File = serde_norway::from_str(&self.text).map_err(|cause| self.fault(&cause))?;
        Ok(file.entries)
    }

    /// Splits the library's message into the key, the cause and the place, which stands apart.
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
