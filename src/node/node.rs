use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eyre::{Report, WrapErr};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::{
    Shared, assignments, borrow, fetch, head, instances, join, manage, members, shutdown, tick,
    voters, work,
};
use crate::clock;
use crate::config::Voter;
use crate::control::Control;
use crate::front::{callers, operators};
use crate::intake::{self, Limits, Port};
use crate::peer::{Member, listen};
use crate::platform::Platform;
use crate::settings::Settings;

/// Maximum wait at the stop for the callers' connections to close, and for the manager to release
/// its lease.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A running entry instance.
pub struct Node {
    shared: Arc<Shared>,
    callers: Mutex<Option<JoinHandle<()>>>,
    manager: Mutex<Option<JoinHandle<()>>>,
}

impl Node {
    /// Binds the ports, writes the member row and starts all tasks.
    ///
    /// # Errors
    ///
    /// A port cannot be bound. While the store is down, this waits instead of failing.
    pub async fn start(settings: Settings, platform: Platform) -> Result<Self, Report> {
        let limits = callers::Limits::from(&settings.bounds).intake();
        let callers = bind(Port::Callers, settings.listen.callers, &limits)?;
        let peers = TcpListener::bind(settings.listen.peers).await;
        let peers = peers
            .wrap_err_with(|| format!("step=bind port=peers peer={}", settings.listen.peers))?;
        let operators = bind(Port::Operators, settings.listen.operators, &limits)?;
        let member = make_member(&settings, &callers, &peers, &operators)?;
        let member = join::join(&platform, member).await?;
        let own = Voter::new(&member.name, member.incarnation);
        let control = Arc::new(Control::new(own, &settings.data_centre, clock::now()));
        let shared = Shared::new(settings, member, control, platform);
        log::info!(event = "started", name = shared.member.name, callers:% = shared.member.callers,
            incarnation = shared.member.incarnation; "");
        tokio::spawn(listen(shared.hub.clone(), peers));
        tokio::spawn(head::poll_head(shared.clone()));
        tokio::spawn(fetch::fetch_missing(shared.clone()));
        tokio::spawn(assignments::poll_assignments(shared.clone()));
        tokio::spawn(instances::poll_instances(shared.clone()));
        tokio::spawn(members::maintain_peers(shared.clone()));
        let manager = tokio::spawn(manage::manage(shared.clone()));
        tokio::spawn(borrow::exchange_permits(shared.clone()));
        tokio::spawn(tick::tick(shared.clone()));
        tokio::spawn(voters::maintain_voters(shared.clone()));
        tokio::spawn(work::work(shared.clone()));
        let claims = shared.port.claims().clone();
        tokio::spawn(async move { claims.upkeep().await });
        tokio::spawn(operators::serve(shared.clone(), operators));
        let stop = shared.stop.subscribe();
        let callers = tokio::spawn(callers::serve(shared.port.clone(), callers, stop));
        Ok(Self {
            shared,
            callers: Mutex::new(Some(callers)),
            manager: Mutex::new(Some(manager)),
        })
    }

    /// Returns the state that the tasks share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Waits until the instance stops, also by itself: it does so when it was paused for so long
    /// that it lost its vote.
    pub async fn lost(&self) {
        let mut stop = self.shared.stop.subscribe();
        drop(stop.wait_for(|stop| *stop).await);
    }

    /// Shuts the instance down. Calls that end within the grace period are not interrupted.
    pub async fn stop(&self) {
        shutdown::shut_down(&self.shared).await;
        let manager = self.manager.lock().expect("manager lock").take();
        if let Some(manager) = manager
            && tokio::time::timeout(CLOSE_TIMEOUT, manager).await.is_err()
        {
            log::warn!(event = "manager-left-running"; "");
        }
        let callers = self.callers.lock().expect("callers lock").take();
        let Some(callers) = callers else { return };
        if tokio::time::timeout(CLOSE_TIMEOUT, callers).await.is_err() {
            log::warn!(event = "callers-left-open"; "");
        }
    }
}

fn bind(port: Port, address: SocketAddr, limits: &Limits) -> Result<TcpListener, Report> {
    intake::listen(address, port, limits)
        .wrap_err_with(|| format!("step=bind port={} peer={address}", port.name()))
}

fn make_member(
    settings: &Settings,
    callers: &TcpListener,
    peers: &TcpListener,
    operators: &TcpListener,
) -> Result<Member, Report> {
    let mut advertised = settings.listen.advertised();
    if advertised.port() == 0 {
        advertised.set_port(peers.local_addr().wrap_err("step=local-address")?.port());
    }
    Ok(Member {
        name: settings.name.clone(),
        incarnation: 0,
        peers: advertised,
        callers: callers.local_addr().wrap_err("step=local-address")?,
        operators: operators.local_addr().wrap_err("step=local-address")?,
        data_centre: settings.data_centre.clone(),
        replaced: None,
    })
}
