//! A replica of the platform, which can be down, stale or delayed on its own.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use celeryknot_core::{DurationMs, Revision};
use celeryknot_platform::Instance;
use futures_lite::FutureExt;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use smol::Timer;

use super::lock;
use super::store::{Contents, Store};
use crate::server::{Aborted, Answer, Handler, empty, into_answer, json, query_number};
use crate::server::{read_body, read_json};
use crate::wire::PlatformMode;

const WAIT_MAX_MS: u64 = 60_000;
/// Interval at which a watch checks whether a delayed list has become visible.
const LAG_POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Mode {
    is_down: bool,
    stale_contents: Option<Contents>,
    instance_lag: Duration,
}

#[derive(Debug)]
pub(super) struct Replica {
    store: Arc<Mutex<Store>>,
    mode: Mutex<Mode>,
}

/// Counts a watch as waiting until it is dropped.
struct WaitingGuard<'a>(&'a Replica);

impl<'a> WaitingGuard<'a> {
    fn new(replica: &'a Replica) -> Self {
        lock(&replica.store).calls.waiting += 1;
        Self(replica)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        lock(&self.0.store).calls.waiting -= 1;
    }
}

impl Replica {
    pub(super) fn new(store: Arc<Mutex<Store>>, instance_lag_ms: DurationMs) -> Self {
        let mode = Mode {
            instance_lag: instance_lag_ms.as_std(),
            ..Mode::default()
        };
        Self {
            store,
            mode: Mutex::new(mode),
        }
    }

    fn mode(&self) -> MutexGuard<'_, Mode> {
        self.mode
            .lock()
            .expect("no thread panics while it holds the mode")
    }

    pub(super) fn set_mode(&self, change: PlatformMode) {
        let mut store = lock(&self.store);
        let mut mode = self.mode();
        if let Some(is_down) = change.down {
            mode.is_down = is_down;
        }
        if let Some(is_stale) = change.stale {
            mode.stale_contents = is_stale.then(|| store.contents.clone());
        }
        if let Some(lag_ms) = change.instance_lag_ms {
            mode.instance_lag = Duration::from_millis(lag_ms);
        }
        store.wake_watchers();
    }

    fn is_down(&self) -> bool {
        self.mode().is_down
    }

    /// Returns the contents newer than `after`, or `None` if nothing has changed.
    fn read_if_changed(&self, path: &str, after: Option<Revision>) -> Option<Answer> {
        let store = lock(&self.store);
        let mode = self.mode();
        let contents = mode.stale_contents.as_ref().unwrap_or(&store.contents);
        if path == "/v1/values" {
            let values = contents.values_after(after);
            let is_changed = after.is_none() || !values.values.is_empty();
            return is_changed.then(|| json(StatusCode::OK, &values));
        }
        let list = contents.instances(mode.instance_lag);
        let is_changed = after.is_none_or(|after| list.revision > after);
        is_changed.then(|| json(StatusCode::OK, &list))
    }

    /// Returns the response to a watch whose wait has timed out.
    fn read_current(&self, path: &str, after: Option<Revision>) -> Answer {
        if path == "/v1/instances" {
            return self
                .read_if_changed(path, None)
                .expect("a read without a revision returns the contents");
        }
        let store = lock(&self.store);
        let mode = self.mode();
        let contents = mode.stale_contents.as_ref().unwrap_or(&store.contents);
        json(StatusCode::OK, &contents.values_after(after))
    }

    async fn watch(&self, path: &str, query: Option<&str>) -> Result<Answer, Aborted> {
        if !lock(&self.store).admit_call() {
            return Ok(empty(StatusCode::TOO_MANY_REQUESTS));
        }
        let after = query_number(query, "after").map(Revision);
        let wait_ms = query_number(query, "wait_ms").unwrap_or(0).min(WAIT_MAX_MS);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let _waiting_guard = (wait_ms > 0).then(|| WaitingGuard::new(self));
        loop {
            if self.is_down() {
                return Err(Aborted);
            }
            let changed = lock(&self.store).watch();
            if let Some(answer) = self.read_if_changed(path, after) {
                return Ok(answer);
            }
            let now = Instant::now();
            if now >= end {
                return Ok(self.read_current(path, after));
            }
            let changed = async {
                // Nothing is sent on the channel: closing it is the signal.
                let _ = changed.recv().await;
            };
            let timeout = async {
                Timer::at(end.min(now + LAG_POLL_INTERVAL)).await;
            };
            changed.or(timeout).await;
        }
    }

    async fn control(&self, request: Request<Incoming>) -> Result<Answer, StatusCode> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if let Some(value_path) = path.strip_prefix("/stand-in/values/") {
            return self.control_value(&head.method, value_path, body).await;
        }
        match (head.method.as_str(), path) {
            ("PUT", "/stand-in/instances") => {
                let instances: Vec<Instance> = read_json(body).await?;
                lock(&self.store).put_instances(instances);
                Ok(empty(StatusCode::NO_CONTENT))
            }
            ("POST", "/stand-in/mode") => {
                self.set_mode(read_json(body).await?);
                Ok(empty(StatusCode::NO_CONTENT))
            }
            ("GET", "/stand-in/calls") => Ok(json(StatusCode::OK, &lock(&self.store).calls)),
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    async fn control_value(
        &self,
        method: &Method,
        path: &str,
        body: Incoming,
    ) -> Result<Answer, StatusCode> {
        let text = match method.as_str() {
            "PUT" => {
                let bytes = read_body(body).await?;
                let text =
                    String::from_utf8(bytes.to_vec()).map_err(|_| StatusCode::BAD_REQUEST)?;
                Some(text)
            }
            "DELETE" => None,
            _ => return Err(StatusCode::METHOD_NOT_ALLOWED),
        };
        lock(&self.store).put_value(path, text);
        Ok(empty(StatusCode::NO_CONTENT))
    }
}

impl Handler for Replica {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Aborted> {
        if request.uri().path().starts_with("/stand-in/") {
            return into_answer(self.control(request).await);
        }
        if self.is_down() {
            return Err(Aborted);
        }
        let path = request.uri().path();
        let is_read = matches!(path, "/v1/values" | "/v1/instances");
        if !is_read {
            return Ok(empty(StatusCode::NOT_FOUND));
        }
        if request.method() != Method::GET {
            return Ok(empty(StatusCode::METHOD_NOT_ALLOWED));
        }
        self.watch(path, request.uri().query()).await
    }
}
