//! Plain-text tables.

/// Renders rows in aligned columns.
pub(crate) fn render(columns: &[String], rows: &[Vec<String>]) -> String {
    if columns.is_empty() {
        return String::new();
    }
    let widths: Vec<usize> = (0..columns.len()).map(|it| width(columns, rows, it)).collect();
    let mut text = line(columns, &widths);
    for row in rows {
        text.push_str(&line(row, &widths));
    }
    text
}

fn width(columns: &[String], rows: &[Vec<String>], index: usize) -> usize {
    let cells = rows.iter().filter_map(|it| it.get(index)).chain([&columns[index]]);
    cells.map(|it| it.chars().count()).max().unwrap_or_default()
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}"));
    let line = padded.collect::<Vec<_>>().join("  ");
    format!("{}\n", line.trim_end())
}
