//! Samples the load of every engine at the engines themselves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use celeryknot_standins::executor::spawn;
use smol::{Task, Timer};

use crate::cluster::{EngineLoad, Engines};

/// Time between two samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The load of all engines at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSample {
    /// Time since the sampling started.
    pub at_ms: u64,
    /// The engines, ordered by index.
    pub engines: Vec<EngineLoad>,
}

impl LoadSample {
    fn in_flight(&self) -> impl Iterator<Item = u32> {
        self.engines
            .iter()
            .filter(|engine| engine.is_fully_available)
            .map(|engine| engine.in_flight)
    }

    /// Returns the mean requests in flight of the fully available engines.
    pub fn mean(&self) -> f64 {
        let count = self.in_flight().count().max(1);
        f64::from(self.in_flight().sum::<u32>()) / count as f64
    }

    /// Returns the most requests in flight at a fully available engine.
    pub fn max(&self) -> f64 {
        f64::from(self.in_flight().max().unwrap_or(0))
    }
}

/// A running sampler.
#[derive(Debug)]
pub struct Sampler {
    stop: Sender<()>,
    task: Task<Vec<LoadSample>>,
}

impl Sampler {
    /// Starts sampling.
    pub fn start(engines: Arc<Engines>) -> Self {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let task = spawn(async move {
            let start = Instant::now();
            let mut samples = Vec::new();
            while !stopped.is_closed() {
                samples.push(LoadSample {
                    at_ms: start.elapsed().as_millis() as u64,
                    engines: engines.loads(),
                });
                Timer::after(SAMPLE_INTERVAL).await;
            }
            samples
        });
        Self { stop, task }
    }

    /// Stops sampling and returns the samples.
    pub async fn stop(self) -> Vec<LoadSample> {
        self.stop.close();
        self.task.await
    }
}

/// Deviation of the engines' load from the mean.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Skew {
    /// Largest ratio of an engine's requests in flight to the mean, in samples whose mean is at
    /// least half of the run's mean.
    pub max_over_mean: f64,
    /// Mean requests in flight over all samples.
    pub mean_in_flight: f64,
    /// Share of samples in which an engine exceeds the multiple of the mean by more than one
    /// request.
    pub share_above: f64,
    /// Largest excess over the multiple of the mean, in requests.
    pub excess_max: f64,
}

impl Skew {
    /// Computes the skew of samples.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_measure::sampler::Skew;
    ///
    /// assert_eq!(Skew::new(&[], 1.25), Skew::default());
    /// ```
    pub fn new(samples: &[LoadSample], multiple: f64) -> Self {
        if samples.is_empty() {
            return Self::default();
        }
        let count = samples.len() as f64;
        let mean_in_flight = samples.iter().map(LoadSample::mean).sum::<f64>() / count;
        let mut skew = Self {
            mean_in_flight,
            ..Self::default()
        };
        let mut samples_above = 0.0;
        for sample in samples {
            let (mean, max) = (sample.mean(), sample.max());
            if mean >= mean_in_flight / 2.0 && mean > 0.0 {
                skew.max_over_mean = skew.max_over_mean.max(max / mean);
            }
            let excess = max - multiple * mean;
            skew.excess_max = skew.excess_max.max(excess);
            if excess > 1.0 {
                samples_above += 1.0;
            }
        }
        skew.share_above = samples_above / count;
        skew
    }
}
