use std::net::SocketAddr;
use std::process::ExitCode;

use super::change::{Edit, edit};
use super::exit::Exit;
use crate::fleet::{Document, Key, Secret, Workspace};

/// Adds a key to a workspace and shows its secret, once.
pub(super) fn issue(to: SocketAddr, workspace: &str, name: &str, wait: bool) -> ExitCode {
    let secret = match Secret::generate() {
        Ok(secret) => secret,
        Err(error) => {
            eprintln!("coriandernotch: step=read-random-source cause={error}");
            return Exit::Failed.into();
        }
    };
    let exit = edit(to, wait, |document| {
        let Some(found) = find(document, workspace) else {
            return Edit::Invalid(format!("there is no workspace {workspace:?}"));
        };
        if found.keys.iter().any(|k| *k.name == *name) {
            return Edit::Invalid(format!(
                "workspace {workspace:?} has a key {name:?} already"
            ));
        }
        found.keys.push(Key {
            name: name.into(),
            digest: secret.digest(),
            withdrawn: false,
        });
        Edit::Changed
    });
    match exit {
        Exit::Done | Exit::Lagging => println!("secret: {}", secret.reveal()),
        Exit::Unknown => eprintln!("the secret is not shown; withdraw the key if it is in force"),
        _ => {}
    }
    exit.into()
}

/// Withdraws a key of a workspace.
pub(super) fn withdraw(to: SocketAddr, workspace: &str, name: &str, wait: bool) -> ExitCode {
    let exit = edit(to, wait, |document| {
        let keys = find(document, workspace).map(|workspace| &mut workspace.keys);
        match keys.and_then(|keys| keys.iter_mut().find(|k| *k.name == *name)) {
            Some(key) if key.withdrawn => Edit::Same,
            Some(key) => {
                key.withdrawn = true;
                Edit::Changed
            }
            None => Edit::Invalid(format!("workspace {workspace:?} has no key {name:?}")),
        }
    });
    exit.into()
}

fn find<'d>(document: &'d mut Document, name: &str) -> Option<&'d mut Workspace> {
    document.workspaces.iter_mut().find(|t| *t.name == *name)
}
