//! Spawning of connection tasks on the control thread's executor.

use std::rc::Weak;

use smol::LocalExecutor;

/// A handle to a single-threaded executor, in the form that `hyper` asks for.
///
/// It is weak, since tasks hold it: an executor that its own tasks kept alive would never
/// close their sockets.
#[derive(Debug, Clone)]
pub(crate) struct LocalSpawner(pub(crate) Weak<LocalExecutor<'static>>);

impl LocalSpawner {
    /// Starts a task that goes on by itself, unless the executor is gone.
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(future).detach();
        }
    }
}

impl<F> hyper::rt::Executor<F> for LocalSpawner
where
    F: Future<Output = ()> + 'static,
{
    fn execute(&self, future: F) {
        self.spawn(future);
    }
}
