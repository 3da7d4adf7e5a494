use std::sync::Arc;

use salvo::Router;

use super::check::CheckFleet;
use super::console::Console;
use super::events::Events;
use super::fleet::{ReadFleet, WriteFleet};
use super::health::{Live, Ready};
use super::history::{ReadHistory, ReadPast};
use super::keys::NewKey;
use super::level::SetLevel;
use super::metrics::Scrape;
use super::openapi::OpenApi;
use super::plans::{CommandPlan, ReadPlans};
use super::reapply::Reapply;
use super::role::Require;
use super::status::Status;
use crate::node::Shared;
use crate::settings::Role;

/// A route of the operators' port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Route {
    /// The process runs.
    Live,
    /// The balancer may send callers.
    Ready,
    /// Metrics.
    Metrics,
    /// Description of these routes.
    OpenApi,
    /// Page of the console.
    ConsolePage,
    /// Script of the console.
    ConsoleScript,
    /// Style of the console.
    ConsoleStyle,
    /// Document in force.
    ReadFleet,
    /// Puts a document in force.
    WriteFleet,
    /// Validates a document.
    CheckFleet,
    /// Page of the history.
    ReadHistory,
    /// Document of a version.
    ReadPast,
    /// Puts an old document in force.
    Reapply,
    /// Where the maintenance plans stand.
    ReadPlans,
    /// Pauses, resumes or withdraws a plan.
    CommandPlan,
    /// What the instance knows.
    Status,
    /// What happened in the last hour.
    Events,
    /// New secret with its digest.
    NewKey,
    /// Sets the log level.
    SetLevel,
}

impl Route {
    /// Returns the path, with parameters in braces.
    pub fn path(self) -> &'static str {
        match self {
            Self::Live => "/healthz",
            Self::Ready => "/readyz",
            Self::Metrics => "/metrics",
            Self::OpenApi => "/v1/openapi.json",
            Self::ConsolePage => "/console",
            Self::ConsoleScript => "/console/console.js",
            Self::ConsoleStyle => "/console/console.css",
            Self::ReadFleet | Self::WriteFleet => "/v1/fleet",
            Self::CheckFleet => "/v1/fleet/check",
            Self::ReadHistory => "/v1/fleet/history",
            Self::ReadPast => "/v1/fleet/history/{version}",
            Self::Reapply => "/v1/fleet/history/{version}/apply",
            Self::ReadPlans => "/v1/plans",
            Self::CommandPlan => "/v1/plans/{name}/{action}",
            Self::Status => "/v1/status",
            Self::Events => "/v1/events",
            Self::NewKey => "/v1/keys",
            Self::SetLevel => "/v1/log-level",
        }
    }

    /// Returns the HTTP method.
    ///
    /// ```
    /// assert_eq!(coriandernotch::front::operators::Route::WriteFleet.method(), "PUT");
    /// ```
    pub fn method(self) -> &'static str {
        match self {
            Self::WriteFleet | Self::SetLevel => "PUT",
            Self::CheckFleet | Self::Reapply | Self::NewKey | Self::CommandPlan => "POST",
            _ => "GET",
        }
    }

    /// Returns the least role, or `None` for a route that is open to all.
    ///
    /// [`Route::WriteFleet`] and [`Route::Reapply`] need [`Role::Administer`] for changes beyond
    /// states of data centres and pauses of plans.
    pub fn role(self) -> Option<Role> {
        match self {
            Self::Live
            | Self::Ready
            | Self::Metrics
            | Self::OpenApi
            | Self::ConsolePage
            | Self::ConsoleScript
            | Self::ConsoleStyle => None,
            Self::ReadFleet
            | Self::CheckFleet
            | Self::ReadHistory
            | Self::ReadPast
            | Self::ReadPlans
            | Self::Status
            | Self::Events => Some(Role::View),
            Self::WriteFleet | Self::Reapply | Self::CommandPlan | Self::SetLevel => {
                Some(Role::Operate)
            }
            Self::NewKey => Some(Role::Administer),
        }
    }

    pub(super) fn router(self, shared: &Arc<Shared>) -> Router {
        let mut router = Router::with_path(self.path().trim_start_matches('/'));
        if let Some(role) = self.role() {
            router = router.hoop(Require::new(shared.clone(), role));
        }
        let shared = shared.clone();
        match self {
            Self::Live => router.get(Live),
            Self::Ready => router.get(Ready(shared)),
            Self::Metrics => router.get(Scrape(shared)),
            Self::OpenApi => router.get(OpenApi),
            Self::ConsolePage => router.get(Console::Page),
            Self::ConsoleScript => router.get(Console::Script),
            Self::ConsoleStyle => router.get(Console::Style),
            Self::ReadFleet => router.get(ReadFleet(shared)),
            Self::WriteFleet => router.put(WriteFleet(shared)),
            Self::CheckFleet => router.post(CheckFleet(shared)),
            Self::ReadHistory => router.get(ReadHistory(shared)),
            Self::ReadPast => router.get(ReadPast(shared)),
            Self::Reapply => router.post(Reapply(shared)),
            Self::ReadPlans => router.get(ReadPlans(shared)),
            Self::CommandPlan => router.post(CommandPlan(shared)),
            Self::Status => router.get(Status(shared)),
            Self::Events => router.get(Events(shared)),
            Self::NewKey => router.post(NewKey),
            Self::SetLevel => router.put(SetLevel(shared)),
        }
    }
}
