use std::sync::Arc;

use bytes::Bytes;

use super::Kind;
use crate::platform::{Command, Write};

/// A call to the store.
#[derive(Clone, Debug)]
pub enum Request {
    /// Reads one row.
    Read(Arc<str>),
    /// Reads rows by prefix.
    Scan {
        /// What the keys start with.
        prefix: Arc<str>,
        /// Keys up to and including this one are left out.
        after: Arc<str>,
        /// Most rows returned.
        limit: usize,
    },
    /// Applies writes at once.
    Transact(Vec<Write>),
    /// Stores an object.
    Put(Arc<str>, Bytes),
    /// Fetches an object.
    Get(Arc<str>),
    /// Reads the instance list.
    List,
    /// Takes an order about an instance.
    Order(Command),
}

impl Request {
    /// Returns the class of the call.
    ///
    /// ```
    /// use coriandernotch::standin::{Kind, Request};
    ///
    /// assert_eq!(Request::Read("a".into()).kind(), Kind::Read);
    /// ```
    pub fn kind(&self) -> Kind {
        match self {
            Request::Read(_) | Request::Scan { .. } => Kind::Read,
            Request::Transact(_) => Kind::Write,
            Request::Put(..) | Request::Get(_) => Kind::Object,
            Request::List => Kind::List,
            Request::Order(_) => Kind::Order,
        }
    }

    /// Returns whether the call can change anything.
    ///
    /// ```
    /// assert!(!coriandernotch::standin::Request::List.changes());
    /// ```
    pub fn changes(&self) -> bool {
        matches!(
            self,
            Request::Transact(_) | Request::Put(..) | Request::Order(_)
        )
    }
}
