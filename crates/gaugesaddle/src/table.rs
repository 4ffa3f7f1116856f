//! Plain-text tables: each column is as wide as its widest cell, and columns of numbers are right-aligned.

/// Renders a header and its rows; each line ends with a line break.
pub fn render(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let head: Vec<String> = head.iter().map(std::string::ToString::to_string).collect();
    let all: Vec<Vec<String>> = std::iter::once(head).chain(rows).collect();
    let columns = all.iter().map(Vec::len).max().unwrap_or(0);
    let cell = |row: &'_ Vec<String>, i: usize| row.get(i).map_or(0, |c| c.chars().count());
    let width: Vec<usize> = (0..columns).map(|i| all.iter().map(|r| cell(r, i)).max().unwrap_or(0)).collect();
    let number = |i: usize| {
        let mut below = all[1..].iter().filter_map(|r| r.get(i)).peekable();
        below.peek().is_some() && below.all(|c| c == "-" || c.parse::<f64>().is_ok())
    };
    let right: Vec<bool> = (0..columns).map(number).collect();
    let mut text = String::new();
    for row in &all {
        let cells = row.iter().enumerate().map(|(i, c)| {
            if right[i] {
                format!("{c:>w$}", w = width[i])
            } else {
                format!("{c:<w$}", w = width[i])
            }
        });
        let line = cells.collect::<Vec<_>>().join("  ");
        text += line.trim_end();
        text.push('\n');
    }
    text
}

#[cfg(test)]
mod tests;
