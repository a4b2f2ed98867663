//! The callers' side: HTTP server, request checks, problem answers.
