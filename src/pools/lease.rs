use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Tenure;
use crate::clock::Instant;
use crate::platform::{Condition, Error, Row, Table, Write};

/// Time without renewal after which another instance may become the manager.
pub const LEASE_TERM: Duration = Duration::from_secs(10);

const LEASE_KEY: &str = "managers/pools";

/// Row of the lease; `holder` is empty after a release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Holder {
    holder: Arc<str>,
    token: u64,
}

/// Lease of the pool manager; each new holder gets a greater fencing token.
///
/// The lease only avoids wasted work. Clocks of different machines cannot be compared, so two
/// processes may hold it at once; the conditions of their transactions keep the rows consistent.
#[derive(Clone, Debug)]
pub struct Lease {
    name: Arc<str>,
    term: Duration,
    /// Row of another holder, and when this process first read it.
    observed: Option<(Row, Instant)>,
    /// Tenure of this process, and when it last renewed the lease.
    renewed: Option<(Tenure, Instant)>,
}

impl Lease {
    /// Creates the lease of one process; `name` must differ between incarnations of the process.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            term: LEASE_TERM,
            observed: None,
            renewed: None,
        }
    }

    /// Sets the term, which must be the same in all processes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::pools::Lease;
    ///
    /// let lease = Lease::new("a").with_term(Duration::from_secs(4));
    /// assert!(lease.tenure(Default::default()).is_none());
    /// ```
    pub fn with_term(self, term: Duration) -> Self {
        Self { term, ..self }
    }

    /// Returns the tenure while this process holds the lease.
    pub fn tenure(&self, now: Instant) -> Option<Tenure> {
        let (tenure, at) = self.renewed.as_ref()?;
        (now.since(*at) < self.term).then(|| tenure.clone())
    }

    /// Acquires or renews the lease if possible, and returns the tenure if this process holds it.
    ///
    /// Call it every third of the term; `now` is the time before the call.
    ///
    /// # Errors
    ///
    /// Returns the error of the table; a lease that is held stays valid until its term ends.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::pools::Lease;
    /// use coriandernotch::standin::Store;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let table = Store::new().client("a");
    /// let now = Instant::default();
    /// let tenure = Lease::new("a").turn(now, &table).await.unwrap();
    /// assert_eq!(tenure.unwrap().token(), 1);
    /// assert!(Lease::new("b").turn(now, &table).await.unwrap().is_none());
    /// # });
    /// ```
    pub async fn turn(&mut self, now: Instant, table: &dyn Table) -> Result<Option<Tenure>, Error> {
        let row = table.read(LEASE_KEY.into()).await?;
        let Some((token, condition)) = self.next_write(now, row) else {
            return Ok(self.tenure(now));
        };
        let holder = Holder {
            holder: self.name.clone(),
            token,
        };
        let value = serde_json::to_string(&holder).expect("strings and numbers serialise");
        match table
            .transact(vec![Write::put(LEASE_KEY, condition, &value)])
            .await
        {
            Ok(_) => {
                let current = self.renewed.take().map(|(tenure, _)| tenure);
                let current = current.filter(|tenure| tenure.token() == token);
                self.renewed = Some((current.unwrap_or_else(|| Tenure::new(token)), now));
            }
            Err(Error::Conflict { .. }) => self.renewed = None,
            // The next call finds out from the row whether the write took effect.
            Err(error) => return Err(error),
        }
        Ok(self.tenure(now))
    }

    /// Releases the lease, so that another instance may acquire it at once.
    ///
    /// # Errors
    ///
    /// Returns the error of the table; the lease then expires at the end of its term.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::pools::Lease;
    /// use coriandernotch::standin::Store;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let table = Store::new().client("a");
    /// let now = Instant::default();
    /// let mut lease = Lease::new("a");
    /// lease.turn(now, &table).await.unwrap();
    /// lease.release(&table).await.unwrap();
    /// let tenure = Lease::new("b").turn(now, &table).await.unwrap();
    /// assert_eq!(tenure.unwrap().token(), 2);
    /// # });
    /// ```
    pub async fn release(&mut self, table: &dyn Table) -> Result<(), Error> {
        let Some((tenure, _)) = self.renewed.take() else {
            return Ok(());
        };
        let Some(row) = table.read(LEASE_KEY.into()).await? else {
            return Ok(());
        };
        let stored: Option<Holder> = serde_json::from_str(&row.value).ok();
        let token = tenure.token();
        if stored.is_none_or(|h| h.holder != self.name || h.token != token) {
            return Ok(());
        }
        let holder = "".into();
        let value = serde_json::to_string(&Holder { holder, token })
            .expect("strings and numbers serialise");
        let write = Write::put(LEASE_KEY, Condition::Version(row.version), &value);
        table.transact(vec![write]).await.map(drop)
    }

    /// Returns a token if the tenure with it is known, also if it has expired.
    fn known_token(&self, token: u64) -> Option<u64> {
        let (tenure, _) = self.renewed.as_ref()?;
        (tenure.token() == token).then_some(token)
    }

    /// Returns the token and the condition of the write that takes or renews the lease, or `None`
    /// while another process may hold it.
    fn next_write(&mut self, now: Instant, row: Option<Row>) -> Option<(u64, Condition)> {
        let Some(row) = row else {
            return Some((1, Condition::Absent));
        };
        let stored: Option<Holder> = serde_json::from_str(&row.value).ok();
        let (is_own, token) = stored
            .as_ref()
            .map_or((false, 0), |h| (h.holder == self.name, h.token));
        let condition = Condition::Version(row.version);
        if is_own {
            // Without the tenure it is not known which operations of this token were given out.
            let token = self.known_token(token).unwrap_or(token + 1);
            return Some((token, condition));
        }
        self.renewed = None;
        if stored.is_some_and(|h| h.holder.is_empty()) {
            return Some((token + 1, condition));
        }
        match &self.observed {
            Some((observed, since)) if *observed == row => {
                (now.since(*since) >= self.term).then_some((token + 1, condition))
            }
            _ => {
                self.observed = Some((row, now));
                None
            }
        }
    }
}
