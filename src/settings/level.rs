use log::LevelFilter;
use serde::{Deserialize, Serialize};

/// Least severe log lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Level {
    /// Errors only.
    Error,
    /// Also warnings.
    Warn,
    /// Also events of normal operation.
    #[default]
    Info,
    /// Also each decision.
    Debug,
    /// Everything.
    Trace,
}

impl Level {
    /// Returns the filter of the logging library.
    ///
    /// ```
    /// use coriandernotch::settings::Level;
    ///
    /// assert_eq!(Level::default().filter(), log::LevelFilter::Info);
    /// ```
    pub fn filter(self) -> LevelFilter {
        match self {
            Self::Error => LevelFilter::Error,
            Self::Warn => LevelFilter::Warn,
            Self::Info => LevelFilter::Info,
            Self::Debug => LevelFilter::Debug,
            Self::Trace => LevelFilter::Trace,
        }
    }
}
