use std::collections::VecDeque;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::prelude::ValueExt;

use super::{Command, Format};

/// Options of all commands.
#[derive(Default)]
pub(super) struct Options {
    pub(super) settings: Option<PathBuf>,
    /// Arguments without a name, in their order.
    pub(super) values: VecDeque<OsString>,
    pub(super) to: Option<SocketAddr>,
    pub(super) if_version: Option<u64>,
    pub(super) seconds: Option<u64>,
    pub(super) seed: Option<u64>,
    pub(super) shape: Option<String>,
    pub(super) report: Option<PathBuf>,
    pub(super) hold: bool,
    pub(super) wait: bool,
    pub(super) format: Option<Format>,
}

impl Options {
    /// Makes the command `name`, or says which option is missing or too many.
    pub(super) fn build(mut self, name: &str) -> Result<Command, lexopt::Error> {
        let command = match name {
            "serve" => Command::Serve {
                settings: need(self.settings.take(), "--settings FILE")?,
            },
            "entry" => Command::Entry {
                settings: need(self.settings.take(), "--settings FILE")?,
            },
            "check" => Command::Check {
                file: need(self.values.pop_front(), "FILE")?.into(),
            },
            "explain" => {
                let id = self.word("ID")?;
                let first = need(self.values.pop_front(), "FILE")?;
                let files = std::iter::once(first).chain(self.values.drain(..));
                Command::Explain {
                    id,
                    files: files.map(Into::into).collect(),
                }
            }
            "apply" => Command::Apply {
                file: need(self.values.pop_front(), "FILE")?.into(),
                to: self.to()?,
                if_version: self.if_version.take(),
                wait: std::mem::take(&mut self.wait),
            },
            "diff" => Command::Diff {
                file: need(self.values.pop_front(), "FILE")?.into(),
                to: self.to()?,
                format: self.format.take().unwrap_or_default(),
            },
            "status" => Command::Status {
                to: self.to()?,
                format: self.format.take().unwrap_or_default(),
            },
            "history" => Command::History {
                to: self.to()?,
                format: self.format.take().unwrap_or_default(),
            },
            "data-centre" => {
                let state = self.word("out|in")?;
                Command::DataCentre {
                    state: state.parse().map_err(|_| unknown(&state, "out, in"))?,
                    name: self.word("NAME")?,
                    to: self.to()?,
                    wait: std::mem::take(&mut self.wait),
                }
            }
            "key" => self.build_key()?,
            "demo" => self.build_demo()?,
            "measure" => self.build_measure()?,
            _ => return Err(format!("{name:?} is no command").into()),
        };
        match self.left_over() {
            Some(option) => Err(format!("{name} takes no {option}").into()),
            None => Ok(command),
        }
    }

    fn build_key(&mut self) -> Result<Command, lexopt::Error> {
        let action = self.word("issue|withdraw")?;
        let (workspace, name) = (self.word("WORKSPACE")?, self.word("NAME")?);
        let (to, wait) = (self.to()?, std::mem::take(&mut self.wait));
        match &*action {
            "issue" => Ok(Command::KeyIssue {
                workspace,
                name,
                to,
                wait,
            }),
            "withdraw" => Ok(Command::KeyWithdraw {
                workspace,
                name,
                to,
                wait,
            }),
            _ => Err(unknown(&action, "issue, withdraw")),
        }
    }

    fn to(&mut self) -> Result<SocketAddr, lexopt::Error> {
        need(self.to.take(), "--to ADDRESS")
    }

    fn word(&mut self, name: &str) -> Result<String, lexopt::Error> {
        need(self.values.pop_front(), name)?.string()
    }

    fn build_demo(&mut self) -> Result<Command, lexopt::Error> {
        let shape = self.shape.take().unwrap_or_else(|| "huallaga".to_owned());
        if !["huallaga", "rennes"].contains(&&*shape) {
            return Err(format!("--shape {shape:?}: accepted huallaga, rennes").into());
        }
        let seconds = self.seconds.take().unwrap_or(20);
        if !(1..=86_400).contains(&seconds) {
            return Err(format!("--seconds {seconds}: accepted 1 to 86400").into());
        }
        Ok(Command::Demo {
            seconds,
            seed: self.seed.take().unwrap_or(1),
            shape,
            report: self.report.take(),
            hold: std::mem::take(&mut self.hold),
        })
    }

    fn build_measure(&mut self) -> Result<Command, lexopt::Error> {
        let shape = self.shape.take().unwrap_or_else(|| "huallaga".to_owned());
        Ok(Command::Measure {
            shape: shape
                .parse()
                .map_err(|_| format!("--shape {shape:?}: accepted huallaga, rennes, target"))?,
            seed: self.seed.take().unwrap_or(1),
            format: self.format.take().unwrap_or_default(),
        })
    }

    /// Names an option that the command does not take.
    fn left_over(&self) -> Option<&'static str> {
        let given = [
            (self.settings.is_some(), "--settings"),
            (!self.values.is_empty(), "further argument"),
            (self.to.is_some(), "--to"),
            (self.if_version.is_some(), "--if-version"),
            (self.seconds.is_some(), "--seconds"),
            (self.seed.is_some(), "--seed"),
            (self.shape.is_some(), "--shape"),
            (self.report.is_some(), "--report"),
            (self.hold, "--hold"),
            (self.wait, "--wait"),
            (self.format.is_some(), "--format"),
        ];
        given
            .iter()
            .find(|(given, _)| *given)
            .map(|(_, name)| *name)
    }
}

fn need<T>(option: Option<T>, name: &str) -> Result<T, lexopt::Error> {
    option.ok_or_else(|| format!("{name} is missing").into())
}

fn unknown(word: &str, accepted: &str) -> lexopt::Error {
    format!("{word:?}: accepted {accepted}").into()
}
