//! Chooses the endpoint of an urgent request: prefers the entry's zone, and in each zone takes the
//! better of two random candidates by outstanding requests and recent latency.
//!
//! Two candidates keep the cost of a choice independent of the size of the fleet. Endpoints that
//! fail repeatedly are ejected for a while, but only a bounded share of them, so that a fault
//! common to all leaves most of them in use.

use super::*;

/// Factor in percent on the estimated latency of a remote endpoint; it is chosen over a local one
/// only if the product is lower than the local estimate.
pub const LOCAL_PREFERENCE_PERCENT: u64 = 150;
/// Consecutive failures after which an endpoint is ejected.
pub const EJECT_AFTER_FAILURES: u32 = 3;
/// Length of the first ejection; each further one in a row is longer by as much, up to
/// `MAX_EJECTION`.
pub const EJECTION_INCREMENT: Duration = Duration::from_secs(2);
/// Longest ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Largest share of the endpoints that may be ejected at once, in percent; one always may.
pub const MAX_EJECTED_PERCENT: usize = 34;
/// Pause of an endpoint after it refused a request.
pub const REFUSAL_PAUSE: Duration = Duration::from_millis(20);

/// An endpoint from the configuration, with this entry's static share of its slots.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Connections that this table may use.
    pub connections: u32,
    /// The rack of its VM.
    pub rack: Name,
    /// Requests that this table may have in progress there.
    pub slots: u32,
    /// Its VM.
    pub vm: Name,
    /// The zone of its VM.
    pub zone: Name,
}

/// How a request ended at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It answered.
    Answered {
        /// Time from the first byte sent to the last received.
        latency: Duration,
    },
    /// The caller cancelled the request; this is no failure of the endpoint.
    Cancelled,
    /// The connection failed, or the answer broke off.
    Failed,
    /// The endpoint stopped responding; the request may have run.
    Lost,
    /// The endpoint refused the request without running it.
    Refused,
}

/// Routing table of one service at one entry.
#[derive(Debug)]
pub struct Table {
    /// Ends of pauses and ejections, soonest first.
    pause_ends: BTreeSet<(Instant, Name)>,
    /// Number of ejected endpoints.
    ejected: usize,
    /// Moving mean of all endpoints' latency, in microseconds; 0 before the first answer.
    mean_latency_us: u64,
    random: Pcg64Mcg,
    /// Candidates examined by all choices so far.
    examined: u64,
    targets: BTreeMap<Name, Target>,
    zone: Name,
    zones: BTreeMap<Name, Pool>,
}

/// The endpoints of one zone that can take a request now, in a vector for constant-time sampling.
#[derive(Debug, Default)]
struct Pool {
    available: Vec<Name>,
}

impl Table {
    /// Returns an empty table for an entry in `zone`; `seed` seeds the sampling.
    pub fn new(zone: Name, seed: u64) -> Self {
        Self {
            pause_ends: BTreeSet::new(),
            ejected: 0,
            examined: 0,
            mean_latency_us: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            targets: BTreeMap::new(),
            zone,
            zones: BTreeMap::new(),
        }
    }

    /// Replaces the endpoints. One added to a table that has others gets its full share only after
    /// a slow start; one that is no longer listed is removed at once, and later ends of its
    /// requests are ignored.
    pub fn apply(&mut self, now: Instant, endpoints: &[Endpoint]) {
        let listed: BTreeSet<&Name> = endpoints.iter().map(|endpoint| &endpoint.vm).collect();
        let gone: Vec<Name> =
            self.targets.keys().filter(|vm| !listed.contains(vm)).cloned().collect();
        gone.iter().for_each(|vm| self.remove_target(vm));
        let first = self.targets.is_empty();
        for endpoint in endpoints {
            match self.targets.get_mut(&endpoint.vm) {
                Some(target) => target.reconfigure(endpoint),
                None => {
                    let added_at = if first { None } else { Some(now) };
                    self.targets.insert(endpoint.vm.clone(), Target::new(endpoint, added_at));
                }
            }
            self.refresh(now, &endpoint.vm);
        }
    }

    /// Returns how many candidates all choices so far have examined.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Returns the mean latency as the time until a slot may become free, for the `Retry-After` of
    /// a refusal.
    pub fn expected_wait(&self) -> Duration {
        Duration::from_micros(self.mean_latency_us)
    }

    /// Stops choosing `vm` until `resume`, or until it is removed and added again.
    pub fn leave(&mut self, now: Instant, vm: &Name) {
        if let Some(target) = self.targets.get_mut(vm) {
            target.leaving = true;
        }
        self.refresh(now, vm);
    }

    /// Chooses `vm` again after a `leave` that was withdrawn.
    pub fn resume(&mut self, now: Instant, vm: &Name) {
        if let Some(target) = self.targets.get_mut(vm) {
            target.leaving = false;
        }
        self.refresh(now, vm);
    }

    /// Reserves a slot at the best endpoint found that is not in `exclude`. Returns `None` if no
    /// slot is free.
    pub fn pick(&mut self, now: Instant, exclude: &[Name]) -> Option<Name> {
        self.end_pauses(now);
        let local = self.sample(now, &self.zone.clone(), exclude);
        let remote = self.sample_other_zones(now, exclude);
        let vm = match (local, remote) {
            (Some(local), Some(remote)) => self.prefer_local(local, remote),
            (local, remote) => local.or(remote)?,
        };
        self.targets.get_mut(&vm)?.outstanding += 1;
        self.refresh(now, &vm);
        Some(vm)
    }

    /// Releases the slot at `vm` and records how the request ended.
    pub fn end(&mut self, now: Instant, vm: &Name, end: End) {
        let Some(target) = self.targets.get_mut(vm) else { return };
        target.outstanding = target.outstanding.saturating_sub(1);
        match end {
            End::Answered { latency } => {
                self.mean_latency_us = target::moving_mean_us(
                    Some(self.mean_latency_us).filter(|mean_us| *mean_us > 0),
                    latency,
                );
                target.answered(latency);
            }
            End::Cancelled => {}
            End::Failed | End::Lost => {
                target.failures += 1;
                self.eject(now, vm);
            }
            End::Refused => self.pause(now, vm, now + REFUSAL_PAUSE),
        }
        self.refresh(now, vm);
    }

    /// Ejects `vm` if it has failed often enough and the bound on ejections allows it.
    fn eject(&mut self, now: Instant, vm: &Name) {
        let ejected_max = (self.targets.len() * MAX_EJECTED_PERCENT / 100).max(1);
        let Some(target) = self.targets.get_mut(vm) else { return };
        if target.failures < EJECT_AFTER_FAILURES || target.ejected || self.ejected >= ejected_max {
            return;
        }
        target.ejected = true;
        target.ejections += 1;
        self.ejected += 1;
        let length = (EJECTION_INCREMENT * target.ejections).min(MAX_EJECTION);
        self.pause(now, vm, now + length);
    }

    /// Pauses `vm` until `until`, or until the end of its current pause if that is later.
    fn pause(&mut self, now: Instant, vm: &Name, until: Instant) {
        let Some(target) = self.targets.get_mut(vm) else { return };
        let until = target.paused_until.map_or(until, |other| other.max(until));
        if let Some(old) = target.paused_until.replace(until) {
            self.pause_ends.remove(&(old, vm.clone()));
        }
        self.pause_ends.insert((until, vm.clone()));
        self.refresh(now, vm);
    }

    /// Ends the pauses and ejections that are due. An endpoint that was ejected is ejected again at
    /// its next failure, unless it answers first.
    fn end_pauses(&mut self, now: Instant) {
        while let Some((until, vm)) = self.pause_ends.first().cloned() {
            if until > now {
                return;
            }
            self.pause_ends.pop_first();
            let Some(target) = self.targets.get_mut(&vm) else { continue };
            target.paused_until = None;
            if std::mem::take(&mut target.ejected) {
                self.ejected -= 1;
                target.failures = EJECT_AFTER_FAILURES - 1;
            }
            self.refresh(now, &vm);
        }
    }

    fn remove_target(&mut self, vm: &Name) {
        let Some(target) = self.targets.remove(vm) else { return };
        if target.ejected {
            self.ejected -= 1;
        }
        if let Some(until) = target.paused_until {
            self.pause_ends.remove(&(until, vm.clone()));
        }
        if let Some(pool_index) = target.pool_index {
            self.remove_from_pool(&target.zone, pool_index);
        }
    }

    /// Adds `vm` to its zone's pool or removes it, by whether it can take a request now.
    fn refresh(&mut self, now: Instant, vm: &Name) {
        let Some(target) = self.targets.get_mut(vm) else { return };
        let available = target.is_available(now);
        let (zone, pool_index) = (target.zone.clone(), target.pool_index);
        match (available, pool_index) {
            (true, None) => {
                let pool = self.zones.entry(zone).or_default();
                target.pool_index = Some(pool.available.len());
                pool.available.push(vm.clone());
            }
            (false, Some(pool_index)) => {
                target.pool_index = None;
                self.remove_from_pool(&zone, pool_index);
            }
            _ => {}
        }
    }

    fn remove_from_pool(&mut self, zone: &Name, pool_index: usize) {
        let Some(pool) = self.zones.get_mut(zone) else { return };
        pool.available.swap_remove(pool_index);
        let Some(moved) = pool.available.get(pool_index) else { return };
        if let Some(target) = self.targets.get_mut(moved) {
            target.pool_index = Some(pool_index);
        }
    }

    /// Returns `remote` if it is faster by `LOCAL_PREFERENCE_PERCENT`, otherwise `local`. Without
    /// an answer of both there is nothing to compare, and `local` wins.
    fn prefer_local(&self, local: Name, remote: Name) -> Name {
        let estimate = |vm| self.targets.get(vm).and_then(Target::estimated_latency_us);
        let (Some(local_us), Some(remote_us)) = (estimate(&local), estimate(&remote)) else {
            return local;
        };
        if remote_us * LOCAL_PREFERENCE_PERCENT / 100 < local_us { remote } else { local }
    }

    /// Returns the better of two random available endpoints of `zone`. Each excluded endpoint adds
    /// one sample; if all samples are excluded, the first one that is not excluded is returned.
    fn sample(&mut self, now: Instant, zone: &Name, exclude: &[Name]) -> Option<Name> {
        let available = &self.zones.get(zone)?.available;
        if available.is_empty() {
            return None;
        }
        let samples = (2 + exclude.len()).min(available.len());
        let mut best: Option<(u64, &Name)> = None;
        let mut index = self.random.random_range(0..available.len());
        for _ in 0..samples {
            let vm = &available[index];
            index = (index + self.random.random_range(1..available.len().max(2))) % available.len();
            self.examined += 1;
            if exclude.contains(vm) {
                continue;
            }
            let score = self.targets.get(vm)?.score(now);
            if best.is_none_or(|(best_score, _)| score < best_score) {
                best = Some((score, vm));
            }
        }
        let first = || available.iter().take(exclude.len() + 1).find(|vm| !exclude.contains(vm));
        best.map(|(_, vm)| vm).or_else(first).cloned()
    }

    /// Returns the best of the endpoints sampled in each other zone.
    fn sample_other_zones(&mut self, now: Instant, exclude: &[Name]) -> Option<Name> {
        let zones = self.zones.keys().filter(|zone| **zone != self.zone);
        let other_zones: Vec<Name> = zones.cloned().collect();
        let samples = other_zones.iter().filter_map(|zone| self.sample(now, zone, exclude));
        let samples: Vec<Name> = samples.collect();
        samples.into_iter().min_by_key(|vm| self.targets.get(vm).map(|target| target.score(now)))
    }
}
