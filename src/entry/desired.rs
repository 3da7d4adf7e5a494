use std::sync::Arc;
use std::time::Duration;

use crate::batch::{Config, Wave};
use crate::clock::Instant;
use crate::collections::{Map, Set};
use crate::platform::api::{Intent, Row, decode_intent};

/// State that operators have requested, as far as this instance knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct Desired {
    config: Option<Arc<Config>>,
    /// Data centres that get no more work.
    excluded: Set<Arc<str>>,
    waves: Map<Arc<str>, Wave>,
    /// This instance knows every change before this time.
    known_until: Instant,
}

impl Desired {
    /// Replaces the state by all rows of the operators, read with a call sent at `sent`.
    pub(super) fn replace(&mut self, rows: &[Row], sent: Instant) {
        self.excluded.clear();
        self.waves
            .retain(|key, _| rows.iter().any(|row| row.key == *key));
        rows.iter().for_each(|row| self.apply(row, sent));
        self.advance_known_until(sent);
    }

    /// Applies a changed row.
    pub(super) fn apply(&mut self, row: &Row, now: Instant) {
        // Operators write outside of any partition; the feed covers the whole table.
        if !row.part.is_empty() {
            return;
        }
        let Some(content) = &row.content else {
            self.waves.remove(&row.key);
            if let Some(Intent::Out(data_centre)) = decode_intent(&row.key, b"{}") {
                log::info!(event = "data-centre-in", data_centre; "");
                self.excluded.remove(&data_centre);
            }
            return;
        };
        match decode_intent(&row.key, content) {
            Some(Intent::Config(config)) => self.apply_config(*config),
            Some(Intent::Out(data_centre)) => {
                log::info!(event = "data-centre-out", data_centre; "");
                self.excluded.insert(data_centre);
            }
            Some(Intent::Wave(mut wave)) => {
                let known = self.waves.get(&row.key);
                wave.due = known.map_or(now + wave.within, |known| known.due);
                self.waves.insert(row.key.clone(), wave);
            }
            None => log::warn!(event = "intent-unreadable", key = row.key; ""),
        }
    }

    fn apply_config(&mut self, config: Config) {
        let is_newer = |known: &Arc<Config>| config.version > known.version;
        if self.config.as_ref().is_none_or(is_newer) {
            log::info!(event = "config-in-force", version = config.version,
                routes = config.routes.len(), keys = config.keys.len(); "");
            self.config = Some(Arc::new(config));
        }
    }

    /// Records that every change before `at` is known.
    pub(super) fn advance_known_until(&mut self, at: Instant) {
        self.known_until = self.known_until.max(at);
    }

    /// Returns the configuration if this instance knows every change older than `max_age`.
    pub(super) fn fresh_config(&self, now: Instant, max_age: Duration) -> Option<Arc<Config>> {
        self.config
            .clone()
            .filter(|_| now.since(self.known_until) < max_age)
    }

    /// Returns the newest known configuration.
    pub(super) fn config(&self) -> Option<Arc<Config>> {
        self.config.clone()
    }

    pub(super) fn excluded(&self) -> Set<Arc<str>> {
        self.excluded.clone()
    }

    pub(super) fn waves(&self) -> Vec<Wave> {
        self.waves.values().cloned().collect()
    }
}
