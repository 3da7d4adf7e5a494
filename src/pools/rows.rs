use super::{Assignment, Ledger};
use crate::platform::{Error, Row, Table};

/// Rows of one scan.
const PAGE: usize = 1000;

/// Rows of all pools and instances.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    pub(super) ledgers: Vec<Row>,
    pub(super) assignments: Vec<Row>,
}

impl Rows {
    /// Reads the rows.
    ///
    /// Pool rows are read before instance rows. Every change of an instance also writes the row
    /// of its pool, so while the version of a pool row stands, the instance rows read after it
    /// are those on which a conditional write decides.
    ///
    /// # Errors
    ///
    /// Returns the error of the table.
    ///
    /// ```
    /// use coriandernotch::pools::Rows;
    /// use coriandernotch::standin::Store;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// assert!(Rows::fetch(&Store::new().client("a")).await.is_ok());
    /// # });
    /// ```
    pub async fn fetch(table: &dyn Table) -> Result<Self, Error> {
        Ok(Self {
            ledgers: scan(table, Ledger::PREFIX).await?,
            assignments: scan(table, Assignment::PREFIX).await?,
        })
    }
}

/// Reads all rows under a prefix.
pub(crate) async fn scan(table: &dyn Table, prefix: &str) -> Result<Vec<Row>, Error> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map_or_else(|| "".into(), |row| row.key.clone());
        let page = table.scan(prefix.into(), after, PAGE).await?;
        let last = page.len() < PAGE;
        rows.extend(page);
        if last {
            return Ok(rows);
        }
    }
}
