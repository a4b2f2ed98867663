//! In-memory timeouts of one thread, advanced by the code that reads the clock.
//!
//! Operating system timers would cost system calls for each request, while timeouts rarely fire
//! and need no exact time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use crate::time::{DurationMs, MonotonicMs};

/// Maximum time between two calls of [`Timers::advance`], and thus the maximum delay of a timeout.
pub const TIMER_RESOLUTION: DurationMs = DurationMs(10);

#[derive(Debug, Default)]
struct TimerList {
    now: MonotonicMs,
    next_id: u64,
    wakers: BTreeMap<(MonotonicMs, u64), Waker>,
}

/// The timeouts of one thread, shared between clones.
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
    /// Advances the time and wakes the tasks whose timeouts have expired.
    pub fn advance(&self, now: MonotonicMs) {
        let due = {
            let mut list = self.0.borrow_mut();
            list.now = list.now.max(now);
            let later = list.wakers.split_off(&(now, u64::MAX));
            std::mem::replace(&mut list.wakers, later)
        };
        due.into_values().for_each(Waker::wake);
    }

    /// Returns a future that completes after `duration`, never earlier.
    pub fn after(&self, duration: DurationMs) -> Sleep {
        let deadline = self.0.borrow().now + duration + TIMER_RESOLUTION;
        Sleep {
            timers: self.clone(),
            deadline,
            id: None,
        }
    }
}

/// Waits until a deadline; see [`Timers::after`].
#[derive(Debug)]
pub struct Sleep {
    timers: Timers,
    deadline: MonotonicMs,
    id: Option<u64>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        let mut list = this.timers.0.borrow_mut();
        if list.now >= this.deadline {
            return Poll::Ready(());
        }
        let id = this.id.unwrap_or(list.next_id);
        if this.id.is_none() {
            list.next_id += 1;
            this.id = Some(id);
        }
        match list.wakers.get_mut(&(this.deadline, id)) {
            Some(waker) => waker.clone_from(context.waker()),
            None => {
                let waker = context.waker().clone();
                list.wakers.insert((this.deadline, id), waker);
            }
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            let mut list = self.timers.0.borrow_mut();
            list.wakers.remove(&(self.deadline, id));
        }
    }
}
