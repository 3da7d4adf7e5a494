use std::sync::Arc;
use std::time::Duration;

use crate::batch::{Config, Wave};
use crate::clock::Instant;
use crate::collections::{Map, Set};
use crate::platform::api::{Intent, Row, decode_intent};

/// What operators asked for, as far as this instance has heard.
#[derive(Clone, Debug, Default)]
pub(super) struct Desired {
    config: Option<Arc<Config>>,
    out: Set<Arc<str>>,
    waves: Map<Arc<str>, Wave>,
    /// Up to when this instance has heard of every change.
    heard: Instant,
}

impl Desired {
    /// Replaces everything by all rows of the operators, read at `sent`.
    pub(super) fn replace(&mut self, rows: &[Row], sent: Instant) {
        self.out.clear();
        self.waves
            .retain(|key, _| rows.iter().any(|row| row.key == *key));
        rows.iter().for_each(|row| self.apply(row, sent));
        self.hear(sent);
    }

    /// Takes note of a row that changed.
    pub(super) fn apply(&mut self, row: &Row, now: Instant) {
        let Some(content) = &row.content else {
            self.waves.remove(&row.key);
            if let Some(Intent::Out(data_centre)) = decode_intent(&row.key, b"{}") {
                log::info!(event = "data-centre-in", data_centre; "");
                self.out.remove(&data_centre);
            }
            return;
        };
        match decode_intent(&row.key, content) {
            Some(Intent::Config(config)) => self.configure(*config),
            Some(Intent::Out(data_centre)) => {
                log::info!(event = "data-centre-out", data_centre; "");
                self.out.insert(data_centre);
            }
            Some(Intent::Wave(mut wave)) => {
                let known = self.waves.get(&row.key);
                wave.due = known.map_or(now + wave.within, |known| known.due);
                self.waves.insert(row.key.clone(), wave);
            }
            None => log::warn!(event = "intent-unreadable", key = row.key; ""),
        }
    }

    fn configure(&mut self, config: Config) {
        let newer = |known: &Arc<Config>| config.version > known.version;
        if self.config.as_ref().is_none_or(newer) {
            log::info!(event = "config-in-force", version = config.version,
                routes = config.routes.len(), keys = config.keys.len(); "");
            self.config = Some(Arc::new(config));
        }
    }

    /// Takes note that every change before `at` was heard of.
    pub(super) fn hear(&mut self, at: Instant) {
        self.heard = self.heard.max(at);
    }

    /// Returns the configuration in force, if this instance knows every change older than `bound`.
    pub(super) fn fresh(&self, now: Instant, bound: Duration) -> Option<Arc<Config>> {
        self.config
            .clone()
            .filter(|_| now.since(self.heard) < bound)
    }

    /// Returns the newest configuration that is known.
    pub(super) fn config(&self) -> Option<Arc<Config>> {
        self.config.clone()
    }

    pub(super) fn out(&self) -> Set<Arc<str>> {
        self.out.clone()
    }

    pub(super) fn waves(&self) -> Vec<Wave> {
        self.waves.values().cloned().collect()
    }
}
