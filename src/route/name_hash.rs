use serde::{Deserialize, Serialize};

/// 32-bit hash of a target's name, the same at all entry instances.
///
/// Two names may have the same tag. Their call counts are then added, so that both targets look
/// busier than they are, but never idle.
///
/// ```
/// use coriandernotch::route::NameHash;
///
/// assert_eq!(NameHash::of("quote-1"), NameHash::of("quote-1"));
/// assert_ne!(NameHash::of("quote-1"), NameHash::of("quote-2"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NameHash(pub u32);

impl NameHash {
    /// Computes the FNV-1a hash of a name.
    pub fn of(name: &str) -> Self {
        let hash = name.bytes().fold(0x811c_9dc5u32, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        });
        Self(hash)
    }
}
