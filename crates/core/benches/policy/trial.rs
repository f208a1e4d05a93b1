//! A trial: one deployment under one scenario and one policy.

use super::*;

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    pub(crate) deployment: Deployment,
    pub(crate) policy: Policy,
    pub(crate) scenario: Scenario,
    /// Seed of all random number generators.
    pub(crate) seed: u64,
}

impl Trial {
    /// Runs the trial to its end.
    pub(crate) fn run(&self) -> Figures {
        let mut simulation = Simulation::new(*self);
        while simulation.step() {}
        simulation.figures
    }

    /// Returns the VMs. All policies but `Policy::None` use each for services and for batch work.
    pub(crate) fn vms(&self, classes: usize) -> Vec<Vm> {
        let deployment = &self.deployment;
        let split = self.policy == Policy::None;
        // Spreads the workers dedicated to services evenly over the racks; those between are for
        // batch work.
        let dedicated = |i: usize| {
            let before = i * deployment.dedicated() / deployment.workers;
            (i + 1) * deployment.dedicated() / deployment.workers > before
        };
        let vm = |i: usize| Vm {
            batch: !split || !dedicated(i),
            health: vm::Health::Good,
            name: unit::name(&format!("vm-{i:03}")),
            outstanding: 0,
            class_utilisation: vec![0.0; classes],
            rack: i / deployment.workers_per_rack,
            units: BTreeSet::new(),
            urgent: !split || dedicated(i),
            window: vm::Window::default(),
            zone: i / deployment.workers_per_rack % deployment::ZONES,
        };
        (0..deployment.workers).map(vm).collect()
    }
}
