//! The platform stand-in: replicas of a configuration store and an instance list.

mod replica;
mod store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use celeryknot_core::DurationMs;
use celeryknot_platform::Instance;

use self::replica::Replica;
use self::store::Store;
use crate::server::Server;
use crate::wire::{PlatformCalls, PlatformMode};

options! {
    /// Options of the platform stand-in.
    pub struct PlatformOptions {
        /// Rate limit of all replicas together.
        calls_per_s: f64 = 2_000.0,
        /// Initial staleness of the instance list.
        instance_lag_ms: DurationMs = DurationMs(0),
        /// Number of replicas.
        replicas: u32 = 1,
    }
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    store: Arc<Mutex<Store>>,
    replicas: Vec<(Arc<Replica>, Server)>,
}

impl Platform {
    /// Starts a platform; its first replica listens on `address`, the others on free ports.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_standins::{LOOPBACK, Platform, PlatformOptions};
    ///
    /// let platform = Platform::start(PlatformOptions::default(), LOOPBACK)?;
    /// platform.put_value("fleet/zones/hkd-a", "[zone]\nstate = in\n");
    /// assert_eq!(platform.calls().calls, 0);
    /// # Ok::<(), eyre::Report>(())
    /// ```
    pub fn start(options: PlatformOptions, address: SocketAddr) -> eyre::Result<Self> {
        let store = Arc::new(Mutex::new(Store::new(options.calls_per_s)));
        let mut replicas = Vec::new();
        for index in 0..options.replicas.max(1) {
            let address = if index == 0 { address } else { crate::LOOPBACK };
            let replica = Arc::new(Replica::new(Arc::clone(&store), options.instance_lag_ms));
            let server = Server::start(address, Arc::clone(&replica))?;
            replicas.push((replica, server));
        }
        Ok(Self { store, replicas })
    }

    /// Returns the address of the first replica.
    pub fn address(&self) -> SocketAddr {
        self.replicas[0].1.address()
    }

    /// Returns the addresses of all replicas.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.replicas
            .iter()
            .map(|(_, server)| server.address())
            .collect()
    }

    /// Publishes a value.
    pub fn put_value(&self, path: &str, text: &str) {
        lock(&self.store).put_value(path, Some(text.to_owned()));
    }

    /// Removes a value.
    pub fn remove_value(&self, path: &str) {
        lock(&self.store).put_value(path, None);
    }

    /// Returns the current revision of the values.
    pub fn revision(&self) -> u64 {
        lock(&self.store).contents.values_after(None).revision.0
    }

    /// Replaces the instance list.
    pub fn put_instances(&self, instances: Vec<Instance>) {
        lock(&self.store).put_instances(instances);
    }

    /// Changes the mode of one replica.
    pub fn set_mode(&self, replica: usize, mode: PlatformMode) {
        self.replicas[replica].0.set_mode(mode);
    }

    /// Returns the call counts of all replicas together.
    pub fn calls(&self) -> PlatformCalls {
        lock(&self.store).calls
    }

    /// Stops all replicas.
    pub async fn stop(self) {
        for (_, server) in self.replicas {
            server.stop().await;
        }
    }
}

fn lock(store: &Mutex<Store>) -> MutexGuard<'_, Store> {
    store
        .lock()
        .expect("no thread panics while it holds the store")
}
