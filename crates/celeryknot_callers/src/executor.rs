//! A single-threaded executor that implements hyper's `Executor` trait.

use std::future::Future;
use std::rc::{Rc, Weak};

use smol::LocalExecutor;

/// Owns the tasks of one traffic thread; dropping it cancels them.
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
    /// Creates a runtime without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a handle with which tasks can spawn other tasks.
    pub fn executor(&self) -> ThreadExecutor {
        ThreadExecutor(Rc::downgrade(&self.0))
    }

    /// Returns the executor itself, for libraries that require it.
    pub fn local_executor(&self) -> &Rc<LocalExecutor<'static>> {
        &self.0
    }

    /// Runs the thread's tasks until the future completes.
    pub async fn run<T>(&self, future: impl Future<Output = T>) -> T {
        self.0.run(future).await
    }
}

/// Spawns tasks on one traffic thread.
///
/// It holds a weak reference to the runtime: with a strong one, a task that holds a handle would
/// keep itself and its sockets alive forever.
#[derive(Clone, Debug)]
pub struct ThreadExecutor(Weak<LocalExecutor<'static>>);

impl ThreadExecutor {
    /// Spawns a task; dropping the returned task cancels it.
    ///
    /// The task never runs if the runtime has been dropped.
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
