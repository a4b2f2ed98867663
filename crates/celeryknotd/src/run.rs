//! The command `celeryknotd`.
