use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Tenure;
use crate::clock::Instant;
use crate::platform::{Condition, Error, Row, Table, Write};

/// Time without renewal after which another instance may manage.
pub const LEASE_TERM: Duration = Duration::from_secs(10);

const KEY: &str = "managers/pools";

/// Row of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Holder {
    holder: Arc<str>,
    token: u64,
}

/// Lease of the pool manager; each new holder gets a greater fencing token.
///
/// The lease only saves work: two holders at once are kept from harm by the conditions of the
/// transactions, since clocks of different machines cannot be compared.
#[derive(Clone, Debug)]
pub struct Lease {
    name: Arc<str>,
    term: Duration,
    seen: Option<(Row, Instant)>,
    renewed: Option<(Tenure, Instant)>,
}

impl Lease {
    /// Makes the lease of one process; `name` must differ between incarnations.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            term: LEASE_TERM,
            seen: None,
            renewed: None,
        }
    }

    /// Sets the term, which must be the same for all.
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

    /// Returns the tenure while the lease holds.
    pub fn tenure(&self, now: Instant) -> Option<Tenure> {
        let (tenure, at) = self.renewed.as_ref()?;
        (now.since(*at) < self.term).then(|| tenure.clone())
    }

    /// Takes or renews the lease if it may, and returns the tenure when it holds.
    ///
    /// Call it every third of the term; `now` is the time before the call.
    ///
    /// # Errors
    ///
    /// Returns the error of the table; the lease then holds until its term ends.
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
        let row = table.read(KEY.into()).await?;
        let Some((token, condition)) = self.judge(now, row) else {
            return Ok(self.tenure(now));
        };
        let holder = Holder {
            holder: self.name.clone(),
            token,
        };
        let value = serde_json::to_string(&holder).expect("text keys only");
        match table
            .transact(vec![Write::put(KEY, condition, &value)])
            .await
        {
            Ok(_) => {
                let kept = self.renewed.take().map(|(tenure, _)| tenure);
                let kept = kept.filter(|tenure| tenure.token() == token);
                self.renewed = Some((kept.unwrap_or_else(|| Tenure::new(token)), now));
            }
            Err(Error::Conflict { .. }) => self.renewed = None,
            // The next turn reads whether the write took effect.
            Err(error) => return Err(error),
        }
        Ok(self.tenure(now))
    }

    /// Gives the lease back, so that another instance may take it at once.
    ///
    /// # Errors
    ///
    /// Returns the error of the table; the lease then ends with its term.
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
        let Some(row) = table.read(KEY.into()).await? else {
            return Ok(());
        };
        let held: Option<Holder> = serde_json::from_str(&row.value).ok();
        let token = tenure.token();
        if held.is_none_or(|h| h.holder != self.name || h.token != token) {
            return Ok(());
        }
        let holder = "".into();
        let value = serde_json::to_string(&Holder { holder, token }).expect("text keys only");
        let write = Write::put(KEY, Condition::Version(row.version), &value);
        table.transact(vec![write]).await.map(drop)
    }

    /// Returns the token to write and the condition, when this process may write.
    fn judge(&mut self, now: Instant, row: Option<Row>) -> Option<(u64, Condition)> {
        let Some(row) = row else {
            return Some((1, Condition::Absent));
        };
        let held: Option<Holder> = serde_json::from_str(&row.value).ok();
        let (mine, token) = held
            .as_ref()
            .map_or((false, 0), |h| (h.holder == self.name, h.token));
        let condition = Condition::Version(row.version);
        if mine {
            return Some((token, condition));
        }
        self.renewed = None;
        if held.is_some_and(|h| h.holder.is_empty()) {
            return Some((token + 1, condition));
        }
        match &self.seen {
            Some((seen, since)) if *seen == row => {
                (now.since(*since) >= self.term).then_some((token + 1, condition))
            }
            _ => {
                self.seen = Some((row, now));
                None
            }
        }
    }
}
