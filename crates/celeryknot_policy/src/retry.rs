//! Retries and hedged requests within a budget.

pub mod backoff;
pub mod budget;
pub mod hedge;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use hedge::HedgeTimer;
