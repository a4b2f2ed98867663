//! Decides which requests leave the daemon's own zone while it has more work than the others.
//!
//! A zone's pressure is the mean expected work of its endpoints. The fraction of requests that leaves
//! is the one at which the own zone's pressure equals the mean of all zones. It is computed from the
//! work that the own zone would have if nothing left, so that the effect of the fraction, which shows
//! late in the load values, does not change the fraction again.

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{DurationMs, MonotonicMs, ZoneName};
use celeryknot_settings::ZonePreference;
use smallvec::SmallVec;
use strum::{Display, EnumIter, IntoStaticStr};

/// Minimum time between two updates of the fraction.
const UPDATE_INTERVAL: DurationMs = DurationMs(100);

/// Longest time that one update accounts for.
const UPDATE_TIME_MAX: DurationMs = DurationMs(500);

/// Time constant over which the zones' pressures are averaged.
const PRESSURE_TIME_MS: f64 = 500.0;

/// Time constant with which the fraction and the other zones' shares follow their targets.
const FRACTION_TIME_MS: f64 = 1_000.0;

/// Time constant with which the work at endpoints follows the fraction: the age of load values and
/// the duration of requests.
const EFFECT_TIME_MS: f64 = 2_000.0;

/// Maximum change of the fraction in a second.
const FRACTION_CHANGE_MAX_PER_S: f64 = 0.5;

/// Maximum fraction; what stays shows when the zone's demand falls.
const FRACTION_MAX: f64 = 0.9;

/// Fraction below which none leaves.
const FRACTION_MIN: f64 = 0.005;

/// Margin by which the own zone's pressure must exceed that of the others, as a part of theirs and
/// in requests per endpoint. Within it, the difference may be chance.
const MARGIN_RATIO: f64 = 0.25;
const MARGIN_WORK: f64 = 1.0;

/// Fraction of prompt hashes around the threshold for which the draw decides.
///
/// With a sharp threshold, the fraction would alternate around the hash of a prompt that makes up
/// much of the load.
const EDGE_WIDTH: f64 = 0.1;

/// Requests at an endpoint that count for its zone's pressure, as a multiple of its slots.
///
/// A queue grows without limit where demand is a little above the slots, so its full length would
/// make far more requests leave than are too many.
const COUNTED_SLOTS_MAX: f64 = 1.5;

/// Minimum share of a zone's endpoints whose load must be known for its pressure to count.
const KNOWN_SHARE_MIN: f64 = 0.5;

/// Minimum number of endpoints in the own zone for which `auto` prefers it.
///
/// With fewer, one cached copy of a prompt per zone costs more prefill than the bytes saved, and the few
/// slots of a small plain service fill by chance while other zones have free ones.
const OWN_ENDPOINTS_MIN: usize = 8;

/// Salt of the hashes that select the requests that leave.
const LEAVING_SALT: &str = "leaves its zone";

/// Why a request was placed in its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ZoneReason {
    /// Zones don't count for this request.
    NoPreference,
    /// It is the daemon's own zone.
    Own,
    /// The own zone's pressure exceeds that of the others.
    Overflow,
    /// The endpoints of the own zone are at their limits or above their share.
    OwnFull,
    /// No endpoint of the own zone may get the request.
    OwnUnavailable,
}

/// Whether a service's requests are placed by zone.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::direct::zone_overflow::ZoneUse;
/// use celeryknot_settings::ZonePreference;
///
/// let of_small_zone = ZoneUse::new(ZonePreference::Auto, true, 4);
/// assert_eq!(of_small_zone, ZoneUse::default());
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneUse {
    /// For requests without a prompt.
    pub plain: bool,
    /// For requests with a short prompt.
    pub short_prompts: bool,
    /// For requests with a long prompt.
    pub long_prompts: bool,
}

impl ZoneUse {
    /// Decides by the setting, whether the service's endpoints report their pace, and the number of
    /// endpoints in the own zone that accept requests.
    pub fn new(preference: ZonePreference, reports_pace: bool, own_endpoints: usize) -> Self {
        match preference {
            ZonePreference::Off => Self::default(),
            ZonePreference::Auto => {
                let applies = reports_pace && own_endpoints >= OWN_ENDPOINTS_MIN;
                Self {
                    plain: applies,
                    short_prompts: applies,
                    // A copy of a long prompt in each zone moves far more bytes than its requests do.
                    long_prompts: false,
                }
            }
            ZonePreference::On => Self {
                plain: true,
                short_prompts: true,
                long_prompts: true,
            },
        }
    }
}

/// Returns the part of an endpoint's expected work that counts for its zone's pressure.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::direct::zone_overflow::counted_work;
///
/// assert_eq!(counted_work(8.0, 8, 6), 8.0);
/// assert_eq!(counted_work(40.0, 20, 6), 18.0, "9 of 20 requests, each at half of the pace");
/// ```
pub fn counted_work(expected_work: f64, requests: u32, slots: u32) -> f64 {
    let counted = COUNTED_SLOTS_MAX * f64::from(slots.max(1));
    expected_work * (counted / f64::from(requests.max(1))).min(1.0)
}

/// The load of one endpoint that accepts requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointWork<'a> {
    /// The endpoint's zone.
    pub zone: &'a ZoneName,
    /// Its expected work, as far as it counts; `None` if no recent value is known.
    pub work: Option<f64>,
}

/// The endpoints of a zone that accept requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneLoad {
    /// The zone.
    pub zone: ZoneName,
    /// Number of its endpoints.
    pub endpoints: usize,
    /// Mean expected work per endpoint; `None` if too few are known.
    pub pressure: Option<f64>,
}

/// Returns the load of each zone that has an endpoint.
///
/// # Examples
///
/// ```
/// use celeryknot_core::ZoneName;
/// use celeryknot_policy::direct::zone_overflow::{EndpointWork, zone_loads};
///
/// let zone: ZoneName = "hkd-a".parse()?;
/// let endpoint = |work| EndpointWork { zone: &zone, work };
/// let loads = zone_loads([endpoint(Some(4.0)), endpoint(Some(6.0)), endpoint(None)]);
/// assert_eq!(loads[0].endpoints, 3);
/// assert_eq!(loads[0].pressure, Some(5.0));
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
pub fn zone_loads<'a>(
    endpoints: impl IntoIterator<Item = EndpointWork<'a>>,
) -> SmallVec<[ZoneLoad; 4]> {
    struct Sum<'a> {
        zone: &'a ZoneName,
        endpoints: usize,
        known: usize,
        work: f64,
    }
    let mut sums: SmallVec<[Sum<'a>; 4]> = SmallVec::new();
    for endpoint in endpoints {
        let index = sums.iter().position(|sum| sum.zone == endpoint.zone);
        let index = index.unwrap_or_else(|| {
            sums.push(Sum {
                zone: endpoint.zone,
                endpoints: 0,
                known: 0,
                work: 0.0,
            });
            sums.len() - 1
        });
        let sum = &mut sums[index];
        sum.endpoints += 1;
        sum.known += usize::from(endpoint.work.is_some());
        sum.work += endpoint.work.unwrap_or(0.0);
    }
    let load = |sum: Sum<'_>| {
        let is_known = sum.known as f64 >= sum.endpoints as f64 * KNOWN_SHARE_MIN;
        ZoneLoad {
            zone: sum.zone.clone(),
            endpoints: sum.endpoints,
            pressure: is_known.then(|| sum.work / sum.known as f64),
        }
    };
    sums.into_iter().map(load).collect()
}

/// A beginning or end of the overflow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverflowChange {
    /// Whether requests begin to leave.
    pub is_active: bool,
    /// Pressure that the own zone would have if no request left; `None` if it is unknown.
    pub own_pressure: Option<f64>,
    /// Pressure that the other zones would have; `None` if it is unknown.
    pub others_pressure: Option<f64>,
    /// The fraction at that time.
    pub fraction: f64,
}

/// What is known of another zone.
#[derive(Debug, Clone)]
struct ZoneTrack {
    zone: ZoneName,
    endpoints: f64,
    pressure: f64,
    /// Work of endpoints that are gone and whose callers the others have yet to serve.
    carried_work: f64,
    /// Its share of the requests that leave.
    share: f64,
    /// The share under which the requests at its endpoints were placed.
    past_share: f64,
}

impl ZoneTrack {
    fn work(&self) -> f64 {
        self.pressure * self.endpoints
    }

    /// Applies the current number of endpoints and their pressure.
    ///
    /// Where endpoints are lost, the load of the others shows only seconds later what they lack, so
    /// the lost ones' work is added until then.
    fn observe(&mut self, time: DurationMs, endpoints: f64, pressure: f64) {
        let lost_work = (self.endpoints - endpoints) * self.pressure;
        let left = 1.0 - progress(time, EFFECT_TIME_MS);
        self.carried_work = (self.carried_work * left + lost_work).max(0.0);
        self.endpoints = endpoints;
        let expected = pressure + self.carried_work / endpoints;
        approach(
            &mut self.pressure,
            expected,
            progress(time, PRESSURE_TIME_MS),
        );
    }
}

/// The fraction of the requests that leaves the own zone, and where to.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{MonotonicMs, ZoneName};
/// use celeryknot_policy::direct::zone_overflow::{ZoneLoad, ZoneOverflow};
///
/// let own: ZoneName = "hkd-a".parse()?;
/// let load = |zone: &str, pressure| ZoneLoad {
///     zone: zone.parse().expect("a valid name"),
///     endpoints: 15,
///     pressure: Some(pressure),
/// };
/// let mut overflow = ZoneOverflow::default();
/// for step in 0..20 {
///     let loads = [load("hkd-a", 30.0), load("hkd-b", 10.0)];
///     overflow.update(MonotonicMs(step * 100), &own, &loads);
/// }
/// assert!(overflow.fraction() > 0.2);
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct ZoneOverflow {
    fraction: f64,
    /// The fraction under which the requests at the endpoints were placed.
    past_fraction: f64,
    is_active: bool,
    zones: SmallVec<[ZoneTrack; 4]>,
    updated_at: Option<MonotonicMs>,
}

/// The zones' pressures without the overflow, and the fraction that makes them equal.
struct Demand {
    own_pressure: f64,
    others_pressure: f64,
    needed: f64,
}

/// Returns a hash as a number above 0 and up to 1.
fn unit_hash(key: u64, salt: &str) -> f64 {
    (rendezvous_score(key, salt) as f64 + 1.0) / (u64::MAX as f64 + 1.0)
}

/// Returns the part of the way to a target that is covered in a time.
fn progress(time: DurationMs, time_constant_ms: f64) -> f64 {
    1.0 - (-(time.0 as f64) / time_constant_ms).exp()
}

fn approach(value: &mut f64, target: f64, progress: f64) {
    *value += (target - *value) * progress;
}

impl ZoneOverflow {
    /// Returns the fraction of requests that leaves the own zone.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Returns whether an update is due.
    pub fn is_due(&self, now: MonotonicMs) -> bool {
        self.updated_at.is_none_or(|at| now - at >= UPDATE_INTERVAL)
    }

    /// Ends the overflow at once, for a service that is no longer placed by zone.
    pub fn reset(&mut self) -> Option<OverflowChange> {
        let previous = std::mem::take(self);
        previous.is_active.then_some(OverflowChange {
            is_active: false,
            own_pressure: None,
            others_pressure: None,
            fraction: 0.0,
        })
    }

    /// Applies the current loads of the zones; returns a beginning or end of the overflow.
    ///
    /// Without a known pressure of the own zone and of another one, the fraction decays to 0.
    pub fn update(
        &mut self,
        now: MonotonicMs,
        own: &ZoneName,
        loads: &[ZoneLoad],
    ) -> Option<OverflowChange> {
        let time = match self.updated_at.replace(now) {
            Some(at) => (now - at).min(UPDATE_TIME_MAX),
            None => DurationMs(0),
        };
        self.track(time, loads);
        approach(
            &mut self.past_fraction,
            self.fraction,
            progress(time, EFFECT_TIME_MS),
        );
        let demand = self.demand(own);
        let was_active = self.is_active;
        self.is_active = demand.as_ref().is_some_and(|it| {
            let margin = it.others_pressure * MARGIN_RATIO + MARGIN_WORK;
            let threshold = if was_active { margin / 2.0 } else { margin };
            it.own_pressure - it.others_pressure > threshold
        });
        let needed = demand.as_ref().map_or(0.0, |it| it.needed);
        let target = if self.is_active { needed } else { 0.0 };
        let step_max = FRACTION_CHANGE_MAX_PER_S * time.0 as f64 / 1_000.0;
        let step = (target - self.fraction) * progress(time, FRACTION_TIME_MS);
        self.fraction += step.clamp(-step_max, step_max);
        if target == 0.0 && self.fraction < FRACTION_MIN {
            self.fraction = 0.0;
        }
        self.divide(time, own);
        (self.is_active != was_active).then(|| OverflowChange {
            is_active: self.is_active,
            own_pressure: demand.as_ref().map(|it| it.own_pressure),
            others_pressure: demand.as_ref().map(|it| it.others_pressure),
            fraction: self.fraction,
        })
    }

    /// Averages the zones' pressures; a zone whose pressure is unknown is forgotten.
    fn track(&mut self, time: DurationMs, loads: &[ZoneLoad]) {
        let known = |load: &ZoneLoad| {
            let pressure = load.pressure.filter(|_| load.endpoints > 0)?;
            Some((load.clone(), pressure))
        };
        let previous = std::mem::take(&mut self.zones);
        self.zones = loads
            .iter()
            .filter_map(known)
            .map(|(load, pressure)| {
                let mut track = previous
                    .iter()
                    .find(|it| it.zone == load.zone)
                    .cloned()
                    .unwrap_or(ZoneTrack {
                        zone: load.zone,
                        endpoints: load.endpoints as f64,
                        pressure,
                        carried_work: 0.0,
                        share: 0.0,
                        past_share: 0.0,
                    });
                track.observe(time, load.endpoints as f64, pressure);
                approach(
                    &mut track.past_share,
                    track.share,
                    progress(time, EFFECT_TIME_MS),
                );
                track
            })
            .collect();
    }

    /// Returns the mean pressure of all zones.
    fn mean_pressure(&self) -> f64 {
        let work: f64 = self.zones.iter().map(ZoneTrack::work).sum();
        let endpoints: f64 = self.zones.iter().map(|it| it.endpoints).sum();
        work / endpoints.max(1.0)
    }

    /// Returns the work of requests that have left the own zone.
    fn moved_work(&self, own_work: f64) -> f64 {
        own_work * self.past_fraction / (1.0 - self.past_fraction)
    }

    /// Returns what the zones would have to do if no request left the own zone.
    fn demand(&self, own: &ZoneName) -> Option<Demand> {
        let own_zone = self.zones.iter().find(|it| it.zone == *own)?;
        let others = self.zones.iter().filter(|it| it.zone != *own);
        let (others_work, others_endpoints) = others.fold((0.0, 0.0), |(work, endpoints), it| {
            (work + it.work(), endpoints + it.endpoints)
        });
        if others_endpoints == 0.0 {
            return None;
        }
        let own_pressure = own_zone.pressure / (1.0 - self.past_fraction);
        let moved = self.moved_work(own_zone.work());
        let needed = 1.0 - self.mean_pressure() / own_pressure.max(f64::MIN_POSITIVE);
        Some(Demand {
            own_pressure,
            others_pressure: (others_work - moved).max(0.0) / others_endpoints,
            needed: needed.clamp(0.0, FRACTION_MAX),
        })
    }

    /// Divides the overflow among the other zones by the work that they can take up to the mean
    /// pressure of all zones. As all zones compute the same mean, what several of them send to one
    /// adds up to what it can take.
    fn divide(&mut self, time: DurationMs, own: &ZoneName) {
        let mean = self.mean_pressure();
        let own_zone = self.zones.iter().find(|it| it.zone == *own);
        let moved = own_zone.map_or(0.0, |it| self.moved_work(it.work()));
        let free = |it: &ZoneTrack| {
            let free = (mean - it.pressure) * it.endpoints + moved * it.past_share;
            if it.zone == *own { 0.0 } else { free.max(0.0) }
        };
        let total: f64 = self.zones.iter().map(free).sum();
        let is_first = self.zones.iter().all(|it| it.share == 0.0);
        let progress = if is_first {
            1.0
        } else {
            progress(time, FRACTION_TIME_MS)
        };
        for zone in &mut self.zones {
            if total > 0.0 {
                let target = free(zone) / total;
                approach(&mut zone.share, target, progress);
            }
        }
    }

    /// Returns the zone that a request leaves to, or `None` if it stays.
    ///
    /// A prompt is selected by its hash, so that the same prompts leave, and go to the same zone.
    /// A request without a prompt is selected by its draw.
    pub fn leaves_to(&self, prompt_key: Option<u64>, draw: f64) -> Option<&ZoneName> {
        if self.fraction <= 0.0 {
            return None;
        }
        let chance = prompt_key.map_or(self.fraction, |key| self.prompt_chance(key));
        if unit_hash(draw.to_bits(), LEAVING_SALT) > chance {
            return None;
        }
        let key = prompt_key.unwrap_or(draw.to_bits());
        // Weighted rendezvous hashing: a change of the shares moves few prompts.
        let distance = |it: &ZoneTrack| -unit_hash(key, it.zone.as_str()).ln() / it.share;
        self.zones
            .iter()
            .filter(|it| it.share > 0.0)
            .min_by(|one, other| distance(one).total_cmp(&distance(other)))
            .map(|it| &it.zone)
    }

    /// Returns the probability that a request with a prompt leaves: 1 or 0 except near the threshold.
    fn prompt_chance(&self, key: u64) -> f64 {
        let width = EDGE_WIDTH
            .min(self.fraction)
            .min(1.0 - self.fraction)
            .max(f64::EPSILON);
        let hash = unit_hash(key, LEAVING_SALT);
        ((self.fraction - hash) / width + 0.5).clamp(0.0, 1.0)
    }
}
