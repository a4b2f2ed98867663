//! One thread's executor in the form that hyper takes.

use std::future::Future;
use std::rc::{Rc, Weak};

use smol::LocalExecutor;

/// Owns the tasks of one traffic thread; dropping it cancels all of them.
///
/// # Examples
///
/// ```
/// use celeryknot_callers::executor::ThreadRuntime;
///
/// let runtime = ThreadRuntime::new();
/// let task = runtime.executor().spawn(async { 7 });
/// assert_eq!(smol::block_on(runtime.run(task)), 7);
/// ```
#[derive(Debug, Default)]
pub struct ThreadRuntime(Rc<LocalExecutor<'static>>);

impl ThreadRuntime {
    /// Builds a runtime without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what tasks spawn others by.
    pub fn executor(&self) -> ThreadExecutor {
        ThreadExecutor(Rc::downgrade(&self.0))
    }

    /// Returns the executor itself, for libraries that take it.
    pub fn local_executor(&self) -> &Rc<LocalExecutor<'static>> {
        &self.0
    }

    /// Runs the tasks of the thread until the future is done.
    pub async fn run<T>(&self, future: impl Future<Output = T>) -> T {
        self.0.run(future).await
    }
}

/// Spawns tasks of one traffic thread.
///
/// It does not keep the runtime alive: a task that holds it would otherwise
/// keep itself, and its sockets, for ever.
#[derive(Clone, Debug)]
pub struct ThreadExecutor(Weak<LocalExecutor<'static>>);

impl ThreadExecutor {
    /// Spawns a task; dropping the returned task cancels it.
    ///
    /// The task never runs once the runtime is gone.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> smol::Task<T> {
        match self.0.upgrade() {
            Some(executor) => executor.spawn(future),
            None => LocalExecutor::new().spawn(future),
        }
    }
}

impl<F> hyper::rt::Executor<F> for ThreadExecutor
where
    F: Future + 'static,
    F::Output: 'static,
{
    fn execute(&self, future: F) {
        self.spawn(future).detach();
    }
}
