//! One deployment under one scenario and one policy.

use super::*;

/// One deployment under one scenario and one policy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    pub(crate) deployment: Deployment,
    pub(crate) policy: Policy,
    pub(crate) scenario: Scenario,
    /// Feeds every random choice.
    pub(crate) seed: u64,
}

impl Trial {
    /// Runs the trial to its end.
    pub(crate) fn run(&self) -> Figures {
        let mut world = World::new(*self);
        while world.step() {}
        world.figures
    }

    /// Returns the VMs, of which every policy but no sharing uses each for both kinds of work.
    pub(crate) fn vms(&self, classes: usize) -> Vec<Vm> {
        let deployment = &self.deployment;
        let split = self.policy == Policy::None;
        // Dedicated workers are spread over the racks: every n-th one is for batch.
        let dedicated = |i: usize| {
            let before = i * deployment.dedicated() / deployment.workers;
            (i + 1) * deployment.dedicated() / deployment.workers > before
        };
        let vm = |i: usize| Vm {
            batch: !split || !dedicated(i),
            health: vm::Health::Good,
            name: unit::name(&format!("vm-{i:03}")),
            outstanding: 0,
            pressure: vec![0.0; classes],
            rack: i / deployment.workers_per_rack,
            units: BTreeSet::new(),
            urgent: !split || dedicated(i),
            window: vm::Window::default(),
            zone: i / deployment.workers_per_rack % deployment::ZONES,
        };
        (0..deployment.workers).map(vm).collect()
    }
}
