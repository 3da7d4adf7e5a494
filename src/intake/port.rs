/// Port of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Port {
    /// Callers of services and jobs.
    Callers,
    /// The balancer's question for readiness.
    Readiness,
    /// Metrics.
    Metrics,
    /// Operators.
    Operators,
}

impl Port {
    /// Returns the name in log lines and metrics.
    ///
    /// ```
    /// assert_eq!(coriandernotch::intake::Port::Callers.name(), "callers");
    /// ```
    pub fn name(self) -> &'static str {
        self.into()
    }
}
