//! The binary `celeryknotd`; see [`celeryknotd::run`].

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    celeryknotd::run::run(&arguments).into()
}
