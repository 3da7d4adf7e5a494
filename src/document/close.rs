/// Candidates that are compared; bounds the time of one suggestion.
const CANDIDATES: usize = 100;

/// Longest name that is compared.
const LONGEST: usize = 32;

/// Most edits between a name and its suggestion.
const EDITS: usize = 2;

/// Returns the candidate that differs least from `name`, if any is close enough.
pub(crate) fn closest<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    if name.len() > LONGEST {
        return None;
    }
    candidates
        .into_iter()
        .take(CANDIDATES)
        .filter(|c| c.len() <= LONGEST && c.len().abs_diff(name.len()) <= EDITS)
        .map(|c| (distance(name.as_bytes(), c.as_bytes()), c))
        // A name of two letters is two edits from every other.
        .filter(|(edits, c)| *edits <= EDITS && *edits < c.len().min(name.len()))
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, c)| c)
}

/// Counts the insertions, removals and replacements between two names.
fn distance(a: &[u8], b: &[u8]) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.iter().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replaced = corner + usize::from(x != y);
            corner = row[j + 1];
            row[j + 1] = replaced.min(corner + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
