//! The order of zones in the placement of a request.

use celeryknot_core::{EndpointName, MonotonicMs, ZoneName};
use celeryknot_settings::ZonePreference;

use super::endpoint::EndpointState;
use super::pool::{EndpointPool, PlacementRequest, SHORT_PROMPT_TOKENS_MAX};
use super::zone_overflow::{
    EndpointWork, OverflowChange, ZoneOverflow, ZoneReason, ZoneUse, counted_work, zone_loads,
};

/// A pool's zone preference and what it needs for it.
#[derive(Debug, Clone, Default)]
pub(super) struct ZoneState {
    own: Option<ZoneName>,
    preference: ZonePreference,
    overflow: ZoneOverflow,
    change: Option<OverflowChange>,
}

/// The order of zones for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ZoneOrder<'a> {
    /// Zones don't count.
    Any,
    /// The own zone comes first.
    OwnFirst { own: &'a ZoneName },
    /// Another zone comes first, and the own one last.
    Leaves { own: &'a ZoneName, to: &'a ZoneName },
}

impl ZoneOrder<'_> {
    /// Returns the rank of a zone; 0 is first.
    pub(super) fn rank(&self, zone: &ZoneName) -> u8 {
        match self {
            Self::Any => 0,
            Self::OwnFirst { own } => u8::from(zone != *own),
            Self::Leaves { to, .. } if zone == *to => 0,
            Self::Leaves { own, .. } => 1 + u8::from(zone == *own),
        }
    }
}

impl EndpointPool {
    /// Sets the daemon's own zone and whether its endpoints come first; without it, placement ignores
    /// zones.
    pub fn set_zone_preference(&mut self, own: ZoneName, preference: ZonePreference) {
        self.zones.own = Some(own);
        self.zones.preference = preference;
    }

    /// Returns the own zone, and for which requests it comes first.
    ///
    /// Ejected endpoints count among those of the zone: they are back soon, and changing the order of
    /// prompts twice would cost more cached prompts than these endpoints hold.
    fn zone_use(&self, now: MonotonicMs) -> Option<(&ZoneName, ZoneUse)> {
        let own = self.zones.own.as_ref()?;
        let preference = self.zones.preference;
        if preference == ZonePreference::Off {
            return None;
        }
        let states = self.endpoints.values();
        let in_zone = states.filter(|it| it.listed.zone == *own && it.accepts_requests(now));
        let zone_use = ZoneUse::new(preference, self.reports_pace(now), in_zone.count());
        Some((own, zone_use)).filter(|_| zone_use.plain)
    }

    /// Returns the order of zones for a request.
    pub(super) fn zone_order(
        &self,
        now: MonotonicMs,
        request: &PlacementRequest<'_>,
    ) -> ZoneOrder<'_> {
        let Some((own, zone_use)) = self.zone_use(now) else {
            return ZoneOrder::Any;
        };
        let applies = match request.shared {
            Some(shared) if shared.tokens <= SHORT_PROMPT_TOKENS_MAX => zone_use.short_prompts,
            Some(_) => zone_use.long_prompts,
            // Suspects have an order of endpoints of their own, which keeps them apart.
            None => zone_use.plain && request.suspect.is_none(),
        };
        if !applies {
            return ZoneOrder::Any;
        }
        let prompt_key = request.shared.map(|shared| shared.key);
        match self.zones.overflow.leaves_to(prompt_key, request.draw) {
            Some(to) if to != own => ZoneOrder::Leaves { own, to },
            Some(_) | None => ZoneOrder::OwnFirst { own },
        }
    }

    /// Returns why a request goes to the zone of an endpoint.
    pub(super) fn zone_reason(
        &self,
        now: MonotonicMs,
        request: &PlacementRequest<'_>,
        chosen: &EndpointName,
    ) -> ZoneReason {
        let order = self.zone_order(now, request);
        let own = match order {
            ZoneOrder::Any => return ZoneReason::NoPreference,
            ZoneOrder::OwnFirst { own } | ZoneOrder::Leaves { own, .. } => own,
        };
        let is_own = |state: &EndpointState| state.listed.zone == *own;
        if self.endpoints.get(chosen).is_some_and(is_own) {
            return ZoneReason::Own;
        }
        let is_any_available = self.endpoints.iter().any(|(name, state)| {
            is_own(state) && !state.is_ejected(now) && Self::is_candidate(now, name, state, request)
        });
        match order {
            _ if !is_any_available => ZoneReason::OwnUnavailable,
            ZoneOrder::Leaves { .. } => ZoneReason::Overflow,
            ZoneOrder::Any | ZoneOrder::OwnFirst { .. } => ZoneReason::OwnFull,
        }
    }

    /// Updates the fraction of requests that leaves the own zone, if an update is due.
    pub fn update_overflow(&mut self, now: MonotonicMs) {
        if !self.zones.overflow.is_due(now) {
            return;
        }
        let Some(own) = self.zone_use(now).map(|(own, _)| own.clone()) else {
            if let Some(change) = self.zones.overflow.reset() {
                self.zones.change = Some(change);
            }
            return;
        };
        let accepting = self
            .endpoints
            .values()
            .filter(|it| it.accepts_requests(now) && !it.is_ejected(now));
        let loads = zone_loads(accepting.map(|it| {
            let (requests, age_ms) = it.load(now);
            let work = counted_work(it.expected_work(now), requests, it.listed.slots);
            EndpointWork {
                zone: &it.listed.zone,
                work: age_ms.map(|_| work),
            }
        }));
        if let Some(change) = self.zones.overflow.update(now, &own, &loads) {
            self.zones.change = Some(change);
        }
    }

    /// Returns the fraction of requests that leaves the own zone.
    pub fn overflow_fraction(&self) -> f64 {
        self.zones.overflow.fraction()
    }

    /// Returns a beginning or end of the overflow that was not returned before.
    pub fn take_overflow_change(&mut self) -> Option<OverflowChange> {
        self.zones.change.take()
    }
}
