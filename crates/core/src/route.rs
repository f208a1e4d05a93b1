//! Chooses the endpoint of an urgent request: the caller's zone first, the better of two by
//! outstanding work and recent latency.

use super::*;

/// A remote endpoint is chosen over a local one only when its estimate times this, in percent, is
/// lower.
pub const LOCAL_PREFERENCE_PERCENT: u64 = 150;
/// Failures in a row that eject an endpoint.
pub const EJECT_AFTER_FAILURES: u32 = 3;
/// The first ejection's length; each further one in a row adds as much, up to `EJECT_LIMIT`.
pub const EJECT_STEP: Duration = Duration::from_secs(2);
/// The longest ejection.
pub const EJECT_LIMIT: Duration = Duration::from_secs(30);
/// The largest share of endpoints that may be ejected at once, in percent.
pub const EJECT_SHARE_PERCENT: usize = 34;
/// How long an endpoint that refused gets nothing.
pub const REFUSED_PAUSE: Duration = Duration::from_millis(20);

/// An endpoint as the configuration and the static share of slots give it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Connections that this table may use.
    pub connections: u32,
    /// The rack of its VM.
    pub rack: Name,
    /// Requests in progress that this table may have there.
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
        /// From the first byte sent to the last received.
        latency: Duration,
    },
    /// The request was given up by its caller; says nothing of the endpoint.
    Cancelled,
    /// It could not be reached, or broke off.
    Failed,
    /// It went silent.
    Lost,
    /// Its guard refused.
    Refused,
}

/// The endpoints of one service, as one entry sees them.
#[derive(Debug)]
pub struct Table {
    /// Ends of pauses and ejections, soonest first.
    due: BTreeSet<(Instant, Name)>,
    ejected: usize,
    /// Moving mean of all endpoints' latency, in microseconds; 0 before the first answer.
    mean: u64,
    random: Pcg64Mcg,
    /// Candidates that a choice has looked at, over the table's life.
    examined: u64,
    targets: BTreeMap<Name, Target>,
    zone: Name,
    zones: BTreeMap<Name, Pool>,
}

/// The endpoints of one zone that can take a request now, for constant-time sampling.
#[derive(Debug, Default)]
struct Pool {
    free: Vec<Name>,
}

impl Table {
    /// Makes an empty table for an entry in `zone`; `seed` feeds its sampling.
    pub fn new(zone: Name, seed: u64) -> Self {
        Self {
            due: BTreeSet::new(),
            ejected: 0,
            examined: 0,
            mean: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            targets: BTreeMap::new(),
            zone,
            zones: BTreeMap::new(),
        }
    }

    /// Takes the endpoints in force. A new one starts slowly; one that is not listed gets nothing
    /// more, and is forgotten when its last request ends.
    pub fn apply(&mut self, now: Instant, endpoints: &[Endpoint]) {
        let listed: BTreeSet<&Name> = endpoints.iter().map(|endpoint| &endpoint.vm).collect();
        let gone: Vec<Name> =
            self.targets.keys().filter(|vm| !listed.contains(vm)).cloned().collect();
        gone.iter().for_each(|vm| self.drop_target(vm));
        let first = self.targets.is_empty();
        for endpoint in endpoints {
            match self.targets.get_mut(&endpoint.vm) {
                Some(target) => target.revise(endpoint),
                None => {
                    let since = if first { None } else { Some(now) };
                    self.targets.insert(endpoint.vm.clone(), Target::new(endpoint, since));
                }
            }
            self.refresh(now, &endpoint.vm);
        }
    }

    /// Returns how many candidates all choices so far have looked at.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Returns when a slot may come free, for a refusal's `Retry-After`.
    pub fn expected_wait(&self) -> Duration {
        Duration::from_micros(self.mean)
    }

    /// Gives `vm` nothing new from now on, until it is listed anew.
    pub fn leave(&mut self, now: Instant, vm: &Name) {
        if let Some(target) = self.targets.get_mut(vm) {
            target.leaving = true;
        }
        self.refresh(now, vm);
    }

    /// Gives `vm` work again after a `leave` that was withdrawn.
    pub fn stay(&mut self, now: Instant, vm: &Name) {
        if let Some(target) = self.targets.get_mut(vm) {
            target.leaving = false;
        }
        self.refresh(now, vm);
    }

    /// Takes a slot at the best endpoint that is not in `exclude`, or returns `None` when no slot
    /// is free.
    pub fn pick(&mut self, now: Instant, exclude: &[Name]) -> Option<Name> {
        self.wake(now);
        let local = self.sample(now, &self.zone.clone(), exclude);
        let other = self.sample_elsewhere(now, exclude);
        let vm = match (local, other) {
            (Some(near), Some(far)) => self.nearer(near, far),
            (local, other) => local.or(other)?,
        };
        self.targets.get_mut(&vm)?.outstanding += 1;
        self.refresh(now, &vm);
        Some(vm)
    }

    /// Gives the slot at `vm` back.
    pub fn end(&mut self, now: Instant, vm: &Name, end: End) {
        let Some(target) = self.targets.get_mut(vm) else { return };
        target.outstanding = target.outstanding.saturating_sub(1);
        match end {
            End::Answered { latency } => {
                self.mean = target::moving_mean(Some(self.mean).filter(|mean| *mean > 0), latency);
                target.answered(latency);
            }
            End::Cancelled => {}
            End::Failed | End::Lost => {
                target.failures += 1;
                self.eject(now, vm);
            }
            End::Refused => self.pause(now, vm, now + REFUSED_PAUSE),
        }
        self.refresh(now, vm);
    }

    fn eject(&mut self, now: Instant, vm: &Name) {
        let bound = (self.targets.len() * EJECT_SHARE_PERCENT / 100).max(1);
        let Some(target) = self.targets.get_mut(vm) else { return };
        if target.failures < EJECT_AFTER_FAILURES || target.ejected || self.ejected >= bound {
            return;
        }
        target.ejected = true;
        target.ejections += 1;
        self.ejected += 1;
        let length = (EJECT_STEP * target.ejections).min(EJECT_LIMIT);
        self.pause(now, vm, now + length);
    }

    fn pause(&mut self, now: Instant, vm: &Name, until: Instant) {
        let Some(target) = self.targets.get_mut(vm) else { return };
        let until = target.paused_until.map_or(until, |other| other.max(until));
        if let Some(old) = target.paused_until.replace(until) {
            self.due.remove(&(old, vm.clone()));
        }
        self.due.insert((until, vm.clone()));
        self.refresh(now, vm);
    }

    fn wake(&mut self, now: Instant) {
        while let Some((until, vm)) = self.due.first().cloned() {
            if until > now {
                return;
            }
            self.due.pop_first();
            let Some(target) = self.targets.get_mut(&vm) else { continue };
            target.paused_until = None;
            if std::mem::take(&mut target.ejected) {
                self.ejected -= 1;
                target.failures = EJECT_AFTER_FAILURES - 1;
            }
            self.refresh(now, &vm);
        }
    }

    fn drop_target(&mut self, vm: &Name) {
        let Some(target) = self.targets.remove(vm) else { return };
        if target.ejected {
            self.ejected -= 1;
        }
        if let Some(until) = target.paused_until {
            self.due.remove(&(until, vm.clone()));
        }
        if let Some(position) = target.position {
            self.unlist(&target.zone, position);
        }
    }

    fn refresh(&mut self, now: Instant, vm: &Name) {
        let Some(target) = self.targets.get_mut(vm) else { return };
        let takes = target.takes(now);
        let (zone, position) = (target.zone.clone(), target.position);
        match (takes, position) {
            (true, None) => {
                let pool = self.zones.entry(zone).or_default();
                target.position = Some(pool.free.len());
                pool.free.push(vm.clone());
            }
            (false, Some(position)) => {
                target.position = None;
                self.unlist(&zone, position);
            }
            _ => {}
        }
    }

    fn unlist(&mut self, zone: &Name, position: usize) {
        let Some(pool) = self.zones.get_mut(zone) else { return };
        pool.free.swap_remove(position);
        let Some(moved) = pool.free.get(position) else { return };
        if let Some(target) = self.targets.get_mut(moved) {
            target.position = Some(position);
        }
    }

    fn nearer(&self, near: Name, far: Name) -> Name {
        let estimate = |vm| self.targets.get(vm).and_then(Target::estimate_micros);
        let (Some(here), Some(there)) = (estimate(&near), estimate(&far)) else { return near };
        if there * LOCAL_PREFERENCE_PERCENT / 100 < here { far } else { near }
    }

    /// Returns the better of two endpoints of `zone`.
    fn sample(&mut self, now: Instant, zone: &Name, exclude: &[Name]) -> Option<Name> {
        let free = &self.zones.get(zone)?.free;
        if free.is_empty() {
            return None;
        }
        let tries = (2 + exclude.len()).min(free.len());
        let mut best: Option<(u64, &Name)> = None;
        let mut at = self.random.random_range(0..free.len());
        for _ in 0..tries {
            let vm = &free[at];
            at = (at + self.random.random_range(1..free.len().max(2))) % free.len();
            self.examined += 1;
            if exclude.contains(vm) {
                continue;
            }
            let score = self.targets.get(vm)?.score(now);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, vm));
            }
        }
        let first = || free.iter().take(exclude.len() + 1).find(|vm| !exclude.contains(vm));
        best.map(|(_, vm)| vm).or_else(first).cloned()
    }

    /// Returns the best of one sample of each other zone.
    fn sample_elsewhere(&mut self, now: Instant, exclude: &[Name]) -> Option<Name> {
        let zones = self.zones.keys().filter(|zone| **zone != self.zone);
        let others: Vec<Name> = zones.cloned().collect();
        let samples = others.iter().filter_map(|zone| self.sample(now, zone, exclude));
        let samples: Vec<Name> = samples.collect();
        samples.into_iter().min_by_key(|vm| self.targets.get(vm).map(|target| target.score(now)))
    }
}
