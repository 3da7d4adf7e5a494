//! Hash collections with a fast hasher.

use rustc_hash::{FxHashMap, FxHashSet};

/// Hash map for keys that callers cannot choose freely; it does not resist crafted collisions.
pub type Map<K, V> = FxHashMap<K, V>;

/// Hash set with the same hasher as [`Map`].
pub type Set<K> = FxHashSet<K>;
