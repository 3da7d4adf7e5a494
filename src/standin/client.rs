use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use super::{Failure, Reply, Request, Store};
use crate::platform::{
    Answer, Command, Error, Instance, Listing, Machines, Objects, Row, Table, Write,
};

/// Same as in the HTTP client, so that both give up at the same time.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// In-process client of a [`Store`].
#[derive(Clone)]
pub struct Handle {
    store: Arc<Store>,
    name: Arc<str>,
}

impl Handle {
    pub(super) fn new(store: Arc<Store>, name: &str) -> Self {
        Self {
            store,
            name: name.into(),
        }
    }

    /// Returns the name by which faults identify this client.
    ///
    /// ```
    /// assert_eq!(coriandernotch::standin::Store::new().client("a").name(), "a");
    /// ```
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sends a call that goes on when the caller stops waiting, without a time limit.
    pub(super) async fn send(&self, request: Request) -> Result<Reply, Failure> {
        let Handle { store, name } = self.clone();
        let work = tokio::spawn(async move { store.perform(&name, request).await });
        work.await.unwrap_or(Err(Failure::Lost))
    }

    async fn call(&self, step: &'static str, request: Request) -> Result<Reply, Error> {
        let changes = request.changes();
        let failure = match timeout(CALL_TIMEOUT, self.send(request)).await {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(failure)) => failure,
            Err(_) => Failure::Lost,
        };
        let peer = Arc::from("in-process");
        Err(match failure {
            Failure::Conflict(key) => Error::Conflict { key },
            Failure::Lost if changes => Error::Unknown {
                step,
                peer,
                reason: "answer lost".into(),
            },
            Failure::Lost | Failure::Refused => Error::Unavailable {
                step,
                peer,
                reason: "refused".into(),
            },
        })
    }
}

impl Table for Handle {
    fn transact(&self, writes: Vec<Write>) -> Answer<'_, Vec<u64>> {
        Box::pin(async move {
            match self.call("transact", Request::Transact(writes)).await? {
                Reply::Versions(versions) => Ok(versions),
                other => unreachable!("answer {other:?} to a transaction"),
            }
        })
    }

    fn read(&self, key: Arc<str>) -> Answer<'_, Option<Row>> {
        Box::pin(async move {
            match self.call("read", Request::Read(key)).await? {
                Reply::Row(row) => Ok(row),
                other => unreachable!("answer {other:?} to a read"),
            }
        })
    }

    fn scan(&self, prefix: Arc<str>, after: Arc<str>, limit: usize) -> Answer<'_, Vec<Row>> {
        Box::pin(async move {
            let request = Request::Scan {
                prefix,
                after,
                limit,
            };
            match self.call("scan", request).await? {
                Reply::Rows(rows) => Ok(rows),
                other => unreachable!("answer {other:?} to a scan"),
            }
        })
    }
}

impl Objects for Handle {
    fn put(&self, name: Arc<str>, content: Bytes) -> Answer<'_, ()> {
        Box::pin(async move {
            self.call("put-object", Request::Put(name, content)).await?;
            Ok(())
        })
    }

    fn get(&self, name: Arc<str>) -> Answer<'_, Option<Bytes>> {
        Box::pin(async move {
            match self.call("get-object", Request::Get(name)).await? {
                Reply::Object(content) => Ok(content),
                other => unreachable!("answer {other:?} to a fetch"),
            }
        })
    }
}

impl Listing for Handle {
    fn instances(&self) -> Answer<'_, Vec<Instance>> {
        Box::pin(async move {
            match self.call("list", Request::List).await? {
                Reply::Instances(list) => Ok(list),
                other => unreachable!("answer {other:?} to a list call"),
            }
        })
    }
}

impl Machines for Handle {
    fn order(&self, command: Command) -> Answer<'_, ()> {
        Box::pin(async move {
            self.call("order", Request::Order(command)).await?;
            Ok(())
        })
    }
}
