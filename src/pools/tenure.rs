use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::Operation;

/// Time of one manager under one fencing token; gives each write its own operation.
///
/// Clones share the counter, so that a state loaded again never reuses an operation. A reused one
/// would let a read after a lost answer mistake an older write for the newer.
#[derive(Clone, Debug, Default)]
pub struct Tenure {
    token: u64,
    count: Arc<AtomicU32>,
}

impl Tenure {
    /// Starts the tenure with a token; there must be one tenure for each token.
    ///
    /// ```
    /// use coriandernotch::pools::Tenure;
    ///
    /// let tenure = Tenure::new(1);
    /// assert_ne!(tenure.clone().next(), tenure.next());
    /// ```
    pub fn new(token: u64) -> Self {
        Self {
            token,
            count: Arc::default(),
        }
    }

    /// Returns the fencing token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns an operation that no other write has.
    ///
    /// See [`Tenure::new`] for an example.
    pub fn next(&self) -> Operation {
        Operation::new(self.token, self.count.fetch_add(1, Ordering::Relaxed) + 1)
    }
}
