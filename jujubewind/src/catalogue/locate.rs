//! Finds the line number of a key in a catalogue file for error messages.

/// Finds the line of `key` in an entry named `id`, skipping `occurrence` earlier ones in `text`.
///
/// Falls back to the line of the entry's name, or to `None` if the layout is not recognised.
pub(super) fn line_of(text: &str, id: &str, occurrence: usize, key: &str) -> Option<usize> {
    let lines: Vec<&str> = text.lines().map(strip_list_marker).collect();
    let is_name = |line: &str| value_of(line, "id") == Some(id);
    let name = (0..lines.len())
        .filter(|&index| is_name(lines[index]))
        .nth(occurrence)?;
    let inside = lines
        .iter()
        .enumerate()
        .skip(name + 1)
        .take_while(|(_, line)| value_of(line, "id").is_none());
    let leaf = key.rsplit('.').next().unwrap_or(key);
    let found = inside
        .filter(|(_, line)| value_of(line, leaf).is_some())
        .map(|(index, _)| index)
        .next();
    Some(found.unwrap_or(name) + 1)
}

fn strip_list_marker(line: &str) -> &str {
    line.trim().trim_start_matches("- ").trim_start()
}

fn value_of<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let value = line.strip_prefix(key)?.strip_prefix(':')?;
    let value = value.split(" #").next().unwrap_or(value);
    Some(value.trim().trim_matches(['"', '\'']))
}
