//! The threads that run the stand-ins, callers and load, apart from the threads of the daemons.

use std::future::Future;
use std::sync::Once;
use std::thread;

use futures_lite::future;
use smol::{Executor, Task};

const THREADS: usize = 3;

static EXECUTOR: Executor<'static> = Executor::new();
static START: Once = Once::new();

/// Runs a future on the threads of the stand-ins.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    START.call_once(start_threads);
    EXECUTOR.spawn(future)
}

fn start_threads() {
    for index in 0..THREADS {
        thread::Builder::new()
            .name(format!("stand-in-{index}"))
            .spawn(|| smol::block_on(EXECUTOR.run(future::pending::<()>())))
            .expect("the system can start a thread");
    }
}
