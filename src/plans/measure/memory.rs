use crate::pools::State;

/// Instances in all copies over which the size is averaged.
///
/// Fewer fit into memory that was freed before and then show as too little.
const INSTANCES: usize = 400_000;

/// Returns the resident memory that one copy of the state takes, 0 where it cannot be read.
pub(super) fn state_bytes(state: &State) -> usize {
    let count = INSTANCES.div_ceil(state.instances().count().max(1));
    let before = resident();
    let copies: Vec<State> = (0..count).map(|_| state.clone()).collect();
    let after = resident();
    drop(copies);
    after.saturating_sub(before) / count
}

fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().split(' ').next()?.parse::<usize>().ok());
    kib.unwrap_or(0) * 1024
}
