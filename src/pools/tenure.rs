use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::Operation;

/// Period in which a manager holds one fencing token; gives each transaction its own operation.
///
/// Clones share the counter, so that a reloaded state never reuses an operation. With a reused one,
/// a read after a lost reply could mistake an older transaction for the newer one.
#[derive(Clone, Debug, Default)]
pub struct Tenure {
    token: u64,
    last_count: Arc<AtomicU32>,
}

impl Tenure {
    /// Starts the tenure of a token; there must be only one tenure for each token.
    ///
    /// ```
    /// use coriandernotch::pools::Tenure;
    ///
    /// let tenure = Tenure::new(1);
    /// assert_ne!(tenure.clone().next_operation(), tenure.next_operation());
    /// ```
    pub fn new(token: u64) -> Self {
        Self {
            token,
            last_count: Arc::default(),
        }
    }

    /// Returns the fencing token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns an operation that no other transaction has.
    ///
    /// See [`Tenure::new`] for an example.
    pub fn next_operation(&self) -> Operation {
        Operation::new(
            self.token,
            self.last_count.fetch_add(1, Ordering::Relaxed) + 1,
        )
    }
}
