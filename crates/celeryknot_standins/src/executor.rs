//! Executor threads for the stand-ins, callers and load, separate from the daemons' threads.

use std::future::Future;
use std::sync::Once;
use std::thread;

use futures_lite::future;
use smol::{Executor, Task};

const EXECUTOR_THREADS: usize = 3;

static EXECUTOR: Executor<'static> = Executor::new();
static THREADS_STARTED: Once = Once::new();

/// Spawns a future on the executor of the stand-ins.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    THREADS_STARTED.call_once(start_threads);
    EXECUTOR.spawn(future)
}

fn start_threads() {
    for index in 0..EXECUTOR_THREADS {
        thread::Builder::new()
            .name(format!("stand-in-{index}"))
            .spawn(|| smol::block_on(EXECUTOR.run(future::pending::<()>())))
            .expect("the system can start a thread");
    }
}
