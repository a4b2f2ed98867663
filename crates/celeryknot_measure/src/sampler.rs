//! Samples what every engine carries, at the engines themselves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use celeryknot_standins::executor::spawn;
use smol::{Task, Timer};

use crate::cluster::{EngineLoad, Engines};

/// Time between two samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// What all engines carried at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSample {
    /// The time from the start of the sampling.
    pub at_ms: u64,
    /// The engines, in their order.
    pub engines: Vec<EngineLoad>,
}

impl LoadSample {
    fn in_flight(&self) -> impl Iterator<Item = u32> {
        self.engines
            .iter()
            .filter(|engine| engine.is_full_member)
            .map(|engine| engine.in_flight)
    }

    /// Returns the mean of the engines that may get their full share.
    pub fn mean(&self) -> f64 {
        let count = self.in_flight().count().max(1);
        f64::from(self.in_flight().sum::<u32>()) / count as f64
    }

    /// Returns the largest of them.
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
    /// Starts to sample.
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

    /// Ends the sampling.
    pub async fn stop(self) -> Vec<LoadSample> {
        self.stop.close();
        self.task.await
    }
}

/// How far engines were from the mean.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Skew {
    /// The largest in-flight over the mean, in samples whose mean is at least half of the run's.
    pub max_over_mean: f64,
    /// The mean over all samples.
    pub mean_in_flight: f64,
    /// The share of all samples with an engine above the multiple of the mean and one request.
    pub share_above: f64,
    /// The largest excess over the multiple of the mean, in requests.
    pub excess_max: f64,
}

impl Skew {
    /// Works the skew out of samples.
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
        let mut above = 0.0;
        for sample in samples {
            let (mean, max) = (sample.mean(), sample.max());
            if mean >= mean_in_flight / 2.0 && mean > 0.0 {
                skew.max_over_mean = skew.max_over_mean.max(max / mean);
            }
            let excess = max - multiple * mean;
            skew.excess_max = skew.excess_max.max(excess);
            if excess > 1.0 {
                above += 1.0;
            }
        }
        skew.share_above = above / count;
        skew
    }
}
