//! One thread's executor in the form that hyper takes.

use std::future::Future;
use std::rc::Rc;

use smol::LocalExecutor;

/// Runs the tasks of one traffic thread; clones share it.
#[derive(Clone, Debug, Default)]
pub struct ThreadExecutor(Rc<LocalExecutor<'static>>);

impl ThreadExecutor {
    /// Builds an executor without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Spawns a task; dropping the returned task cancels it.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_callers::ThreadExecutor;
    ///
    /// let executor = ThreadExecutor::new();
    /// let task = executor.spawn(async { 7 });
    /// assert_eq!(smol::block_on(executor.run(task)), 7);
    /// ```
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> smol::Task<T> {
        self.0.spawn(future)
    }

    /// Runs the tasks of the thread until the future is done.
    pub async fn run<T>(&self, future: impl Future<Output = T>) -> T {
        self.0.run(future).await
    }
}

impl<F> hyper::rt::Executor<F> for ThreadExecutor
where
    F: Future + 'static,
    F::Output: 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}
