//! Spawning of connection tasks on the control thread's executor.

use std::rc::Rc;

use smol::LocalExecutor;

/// A handle to a single-threaded executor, in the form that `hyper` asks for.
#[derive(Debug, Clone)]
pub(crate) struct LocalSpawner(pub(crate) Rc<LocalExecutor<'static>>);

impl<F> hyper::rt::Executor<F> for LocalSpawner
where
    F: Future<Output = ()> + 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}
