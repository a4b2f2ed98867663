//! Timeouts of one thread, kept in memory and moved on by whoever reads the clock.
//!
//! A timer of the operating system costs calls into it for each request;
//! timeouts hardly ever fire and need no exact time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use crate::time::{DurationMs, MonotonicMs};

/// Longest time between two calls of [`Timers::advance`]; a timeout is late by no more.
pub const RESOLUTION: DurationMs = DurationMs(10);

#[derive(Debug, Default)]
struct TimerList {
    now: MonotonicMs,
    next_number: u64,
    wakers: BTreeMap<(MonotonicMs, u64), Waker>,
}

/// The timeouts of one thread; clones share them.
///
/// # Examples
///
/// ```
/// use std::future::Future;
/// use std::pin::pin;
/// use std::task::{Context, Waker};
///
/// use celeryknot_core::{DurationMs, MonotonicMs, Timers};
///
/// let timers = Timers::default();
/// let mut sleep = pin!(timers.after(DurationMs(50)));
/// let mut context = Context::from_waker(Waker::noop());
/// assert!(sleep.as_mut().poll(&mut context).is_pending());
/// timers.advance(MonotonicMs(60));
/// assert!(sleep.as_mut().poll(&mut context).is_ready());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Timers(Rc<RefCell<TimerList>>);

impl Timers {
    /// Moves the time on and wakes whoever waited for it.
    pub fn advance(&self, now: MonotonicMs) {
        let due = {
            let mut list = self.0.borrow_mut();
            list.now = list.now.max(now);
            let later = list.wakers.split_off(&(now, u64::MAX));
            std::mem::replace(&mut list.wakers, later)
        };
        due.into_values().for_each(Waker::wake);
    }

    /// Returns a future that is done after the time, never earlier.
    pub fn after(&self, duration: DurationMs) -> Sleep {
        let at = self.0.borrow().now + duration + RESOLUTION;
        Sleep {
            timers: self.clone(),
            at,
            number: None,
        }
    }
}

/// Waits for a time; see [`Timers::after`].
#[derive(Debug)]
pub struct Sleep {
    timers: Timers,
    at: MonotonicMs,
    number: Option<u64>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        let mut list = this.timers.0.borrow_mut();
        if list.now >= this.at {
            return Poll::Ready(());
        }
        let number = this.number.unwrap_or(list.next_number);
        if this.number.is_none() {
            list.next_number += 1;
            this.number = Some(number);
        }
        match list.wakers.get_mut(&(this.at, number)) {
            Some(waker) => waker.clone_from(context.waker()),
            None => {
                let waker = context.waker().clone();
                list.wakers.insert((this.at, number), waker);
            }
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            let mut list = self.timers.0.borrow_mut();
            list.wakers.remove(&(self.at, number));
        }
    }
}
