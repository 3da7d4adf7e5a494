use std::sync::Arc;

use super::{Route, Workspace};
use crate::collections::{Map, Set};

/// One version of the configuration set by operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version number; increases, but not always by one.
    pub version: u64,
    /// Queues.
    pub routes: Vec<Route>,
    /// Workspaces, by name.
    pub workspaces: Map<Arc<str>, Workspace>,
    /// Workspace name for each key that callers present.
    pub keys: Map<Arc<str>, Arc<str>>,
    /// Services whose machines are switched off while no other service needs them.
    pub spare_services: Set<Arc<str>>,
    /// Maximum size of a request body in bytes.
    pub max_body: usize,
}

impl Config {
    /// Finds the queue with the longest prefix of `path` on `host`.
    ///
    /// ```
    /// use coriandernotch::batch::{Config, Route};
    ///
    /// let route = |prefix: &str| Route { host: "h".into(), prefix: prefix.into(), ..Route::default() };
    /// let config = Config { routes: vec![route("/a/"), route("/a/b/")], ..Config::default() };
    /// assert_eq!(&*config.route("h", "/a/b/c").unwrap().prefix, "/a/b/");
    /// assert!(config.route("other", "/a/b/c").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| *route.host == *host && path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Finds a queue by its name.
    pub fn route_named(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| *route.name == *name)
    }
}
