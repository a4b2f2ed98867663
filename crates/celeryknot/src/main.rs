//! The `celeryknot` binary, a wrapper around the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    celeryknot::run(&args, &mut std::io::stdout().lock()).into()
}
