//! The operators' side: metrics, status, explanations and health.
