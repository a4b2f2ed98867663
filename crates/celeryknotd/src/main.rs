//! Thin binary around the library's run.

fn main() {}
