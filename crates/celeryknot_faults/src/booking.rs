//! The sequential model of one booking: a register that is written at most once.

use std::collections::BTreeMap;

use celeryknot_core::Execution;
use porcupine_rs::{Model, Operation};

use crate::history::{BookingKey, BookingOutcome, HistoryEvent};

/// One operation on the register of one booking.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum BookingOperation {
    /// An endpoint ran the booking and gave it a number.
    Execute {
        /// The booking's key.
        key: BookingKey,
        /// The number.
        booking: u64,
    },
    /// A caller received the outcome of a submission.
    Observe {
        /// The booking's key.
        key: BookingKey,
        /// The outcome.
        outcome: BookingOutcome,
    },
}

impl BookingOperation {
    fn key(&self) -> &BookingKey {
        match self {
            Self::Execute { key, .. } | Self::Observe { key, .. } => key,
        }
    }
}

/// The model for the linearizability checker.
///
/// An execution is accepted only while no booking has been run for the key. A response with a
/// number is accepted only after the execution with that number, `not-run` only before any
/// execution, `run` only after one, and `unknown` always.
#[derive(Debug, Clone)]
pub struct BookingRegister;

impl Model for BookingRegister {
    type State = Option<u64>;
    type Op = BookingOperation;
    type Metadata = ();

    fn partition_operations(history: &[Operation<Self>]) -> Vec<Vec<Operation<Self>>> {
        let mut by_key: BTreeMap<BookingKey, Vec<Operation<Self>>> = BTreeMap::new();
        for operation in history {
            let key = operation.op.key().clone();
            by_key.entry(key).or_default().push(operation.clone());
        }
        by_key.into_values().collect()
    }

    fn init() -> Option<u64> {
        None
    }

    fn step(state: &Option<u64>, op: &BookingOperation) -> (bool, Option<u64>) {
        match op {
            BookingOperation::Execute { booking, .. } => (state.is_none(), Some(*booking)),
            BookingOperation::Observe { outcome, .. } => (is_consistent(*state, outcome), *state),
        }
    }
}

fn is_consistent(state: Option<u64>, outcome: &BookingOutcome) -> bool {
    match outcome {
        BookingOutcome::Done { booking } => state == Some(*booking),
        BookingOutcome::Refused { execution, .. } => match execution {
            Execution::NotRun => state.is_none(),
            Execution::Run => state.is_some(),
            Execution::Unknown => true,
        },
    }
}

/// Converts the booking events of a history into operations for the checker.
///
/// # Examples
///
/// ```
/// use celeryknot_faults::booking::booking_operations;
///
/// assert!(porcupine_rs::check_operations(&booking_operations(&[])));
/// ```
pub fn booking_operations(events: &[HistoryEvent]) -> Vec<Operation<BookingRegister>> {
    events.iter().filter_map(booking_operation).collect()
}

fn booking_operation(event: &HistoryEvent) -> Option<Operation<BookingRegister>> {
    let (op, call_time, return_time) = match event {
        HistoryEvent::Submitted {
            key,
            called_at,
            returned_at,
            outcome,
            ..
        } => (
            BookingOperation::Observe {
                key: key.clone(),
                outcome: outcome.clone(),
            },
            called_at.0,
            returned_at.0,
        ),
        HistoryEvent::Executed {
            key, booking, at, ..
        } => (
            BookingOperation::Execute {
                key: key.clone(),
                booking: *booking,
            },
            at.0,
            at.0,
        ),
        HistoryEvent::Requested { .. }
        | HistoryEvent::WorkStarted { .. }
        | HistoryEvent::Withdrawn { .. } => return None,
    };
    Some(Operation {
        client_id: None,
        call_time,
        return_time,
        op,
        metadata: None,
    })
}
