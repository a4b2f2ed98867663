//! The operators' command line: demo, check, status, explain, load, measure and stand-ins.
