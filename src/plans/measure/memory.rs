use crate::pools::State;

/// Copies over which the size is averaged, so that pages of other allocations weigh little.
const COPIES: usize = 64;

/// Returns the resident memory that one copy of the state takes, 0 where it cannot be read.
pub(super) fn state_bytes(state: &State) -> usize {
    let before = resident();
    let copies: Vec<State> = (0..COPIES).map(|_| state.clone()).collect();
    let after = resident();
    drop(copies);
    after.saturating_sub(before) / COPIES
}

fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().split(' ').next()?.parse::<usize>().ok());
    kib.unwrap_or(0) * 1024
}
