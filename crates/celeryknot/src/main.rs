//! Thin binary around the library's run.

use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    celeryknot::run(&words, &mut std::io::stdout().lock()).into()
}
