//! Spawns connection tasks on the control thread's executor.

use std::rc::Weak;

use smol::LocalExecutor;

/// A handle to a single-threaded executor that implements `hyper`'s `Executor`.
///
/// The reference is weak because tasks hold it: a strong one would keep the executor alive, and
/// with it the tasks' sockets.
#[derive(Debug, Clone)]
pub(crate) struct LocalSpawner(pub(crate) Weak<LocalExecutor<'static>>);

impl LocalSpawner {
    /// Spawns a detached task, unless the executor was dropped.
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
