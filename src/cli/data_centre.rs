use std::net::SocketAddr;
use std::process::ExitCode;

use super::change::{Edit, edit};
use crate::fleet::Direction;

/// Takes a data centre out or back in.
pub(super) fn data_centre(to: SocketAddr, name: &str, state: Direction, wait: bool) -> ExitCode {
    let exit = edit(to, wait, |document| {
        let mut all = document.data_centres.iter_mut();
        match all.find(|d| *d.name == *name) {
            Some(found) if found.state == state => Edit::Same,
            Some(found) => {
                found.state = state;
                Edit::Changed
            }
            None => Edit::Invalid(format!("there is no data centre {name:?}")),
        }
    });
    exit.into()
}
