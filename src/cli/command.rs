use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::prelude::{Long, Short, Value, ValueExt};

use super::Format;
use crate::measure::Shape;

/// How the program is called.
pub const USAGE: &str = "\
usage: coriandernotch serve --settings FILE
       coriandernotch check FILE
       coriandernotch apply FILE --to ADDRESS [--if-version N]
       coriandernotch status --to ADDRESS
       coriandernotch demo [--seconds N] [--seed N] [--shape huallaga|rennes] [--report DIR] [--hold]
       coriandernotch measure [--shape huallaga|rennes|target] [--seed N] [--format table|json]
       coriandernotch --help | --version
apply and status read the operator key from the variable CORIANDERNOTCH_KEY.
";

/// One call of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Prints the usage.
    Help,
    /// Prints the version.
    Version,
    /// Runs one entry instance.
    Serve {
        /// Settings file.
        settings: PathBuf,
    },
    /// Validates a file.
    Check {
        /// Settings or fleet document.
        file: PathBuf,
    },
    /// Puts a fleet document in force.
    Apply {
        /// Fleet document.
        file: PathBuf,
        /// Operators' port of an entry instance.
        to: SocketAddr,
        /// Version that the document follows.
        if_version: Option<u64>,
    },
    /// Prints what an entry instance knows.
    Status {
        /// Operators' port of an entry instance.
        to: SocketAddr,
    },
    /// Measures the decisions over a fleet, next to naive baselines.
    Measure {
        /// Fleet.
        shape: Shape,
        /// Seed of the load.
        seed: u64,
        /// How the figures are printed.
        format: Format,
    },
    /// Runs stand-ins and entry instances in one process and checks the rules.
    Demo {
        /// Length of the load in seconds.
        seconds: u64,
        /// Seed of the load.
        seed: u64,
        /// Name of the example fleet.
        shape: String,
        /// Folder for a report.
        report: Option<PathBuf>,
        /// Whether to go on until interrupted.
        hold: bool,
    },
}

impl Command {
    /// Reads the arguments, the first of which is the name of the program.
    ///
    /// # Errors
    ///
    /// Says which argument is wrong.
    ///
    /// ```
    /// use coriandernotch::cli::Command;
    ///
    /// let command = Command::parse(["coriandernotch", "--help"].map(Into::into)).unwrap();
    /// assert_eq!(command, Command::Help);
    /// assert!(Command::parse(["coriandernotch", "fly"].map(Into::into)).is_err());
    /// ```
    pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Self, lexopt::Error> {
        let mut parser = lexopt::Parser::from_iter(args);
        let name = match parser.next()? {
            Some(Short('h') | Long("help")) => return Ok(Self::Help),
            Some(Short('V') | Long("version")) => return Ok(Self::Version),
            Some(Value(name)) => name.string()?,
            Some(other) => return Err(other.unexpected()),
            None => return Err("a command is missing".into()),
        };
        let mut options = Options::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(Self::Help),
                Long("settings") => options.settings = Some(parser.value()?.into()),
                Long("to") => options.to = Some(parser.value()?.parse()?),
                Long("if-version") => options.if_version = Some(parser.value()?.parse()?),
                Long("seconds") => options.seconds = Some(parser.value()?.parse()?),
                Long("seed") => options.seed = Some(parser.value()?.parse()?),
                Long("shape") => options.shape = Some(parser.value()?.string()?),
                Long("report") => options.report = Some(parser.value()?.into()),
                Long("format") => options.format = Some(parser.value()?.string()?),
                Long("hold") => options.hold = true,
                Value(file) if options.file.is_none() => options.file = Some(file.into()),
                other => return Err(other.unexpected()),
            }
        }
        options.build(&name)
    }
}

/// Options of all commands.
#[derive(Default)]
struct Options {
    settings: Option<PathBuf>,
    file: Option<PathBuf>,
    to: Option<SocketAddr>,
    if_version: Option<u64>,
    seconds: Option<u64>,
    seed: Option<u64>,
    shape: Option<String>,
    report: Option<PathBuf>,
    hold: bool,
    format: Option<String>,
}

impl Options {
    fn build(mut self, name: &str) -> Result<Command, lexopt::Error> {
        let command = match name {
            "serve" => Command::Serve {
                settings: need(self.settings.take(), "--settings FILE")?,
            },
            "check" => Command::Check {
                file: need(self.file.take(), "FILE")?,
            },
            "apply" => Command::Apply {
                file: need(self.file.take(), "FILE")?,
                to: need(self.to.take(), "--to ADDRESS")?,
                if_version: self.if_version.take(),
            },
            "status" => Command::Status {
                to: need(self.to.take(), "--to ADDRESS")?,
            },
            "demo" => self.build_demo()?,
            "measure" => self.build_measure()?,
            _ => return Err(format!("{name:?} is no command").into()),
        };
        match self.left_over() {
            Some(option) => Err(format!("{name} takes no {option}").into()),
            None => Ok(command),
        }
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
        let format = self.format.take().unwrap_or_else(|| "table".to_owned());
        Ok(Command::Measure {
            shape: shape
                .parse()
                .map_err(|_| format!("--shape {shape:?}: accepted huallaga, rennes, target"))?,
            seed: self.seed.take().unwrap_or(1),
            format: format
                .parse()
                .map_err(|_| format!("--format {format:?}: accepted table, json"))?,
        })
    }

    /// Names an option that the command does not take.
    fn left_over(&self) -> Option<&'static str> {
        let given = [
            (self.settings.is_some(), "--settings"),
            (self.file.is_some(), "FILE"),
            (self.to.is_some(), "--to"),
            (self.if_version.is_some(), "--if-version"),
            (self.seconds.is_some(), "--seconds"),
            (self.seed.is_some(), "--seed"),
            (self.shape.is_some(), "--shape"),
            (self.report.is_some(), "--report"),
            (self.hold, "--hold"),
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
