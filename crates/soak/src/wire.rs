//! The connections of a VM to one other machine.

use {super::*, way::Way};

/// The connections of a VM to a worker or to the store, through a relay of their own.
#[derive(Debug)]
pub(crate) struct Wire {
    relay: TcpRelay,
    /// Number of disturbances in force.
    disturbances: Cell<u32>,
}

impl Wire {
    async fn start(target: SocketAddr) -> miette::Result<Self> {
        let relay = TcpRelay::start(([127, 0, 0, 1], 0).into(), target).await.into_diagnostic()?;
        Ok(Self { relay, disturbances: Cell::default() })
    }

    /// Builds the wires of a VM: the one to the store, then one to each worker, whose addresses the VM
    /// reads from its own view of the store.
    pub(crate) async fn start_all(
        store: &UsersStore,
        workers: &[(UsersWorker, TcpRelay)],
    ) -> miette::Result<Vec<Self>> {
        let (mut wires, mut addresses) = (Vec::new(), BTreeMap::new());
        for (_, target) in workers {
            let wire = Self::start(target.address).await?;
            addresses.insert(target.address, wire.address());
            wires.push(wire);
        }
        let address = store.serve(UsersView::new(addresses)).await.into_diagnostic()?;
        wires.insert(0, Self::start(address).await?);
        Ok(wires)
    }

    /// Returns the address at which the VM reaches the other machine.
    pub(crate) fn address(&self) -> SocketAddr {
        self.relay.address
    }

    /// Begins a disturbance, which may overlap with others.
    pub(crate) fn disturb(&self, way: Way) {
        self.disturbances.update(|count| count + 1);
        match way {
            Way::Cut => self.cut(),
            Way::Delay(delay) => self.relay.delay(delay),
            Way::Hold | Way::HoldAndCut => self.relay.hold(),
        }
    }

    /// Closes the connections, and new ones, until all disturbances are over.
    pub(crate) fn cut(&self) {
        self.relay.cut();
    }

    /// Ends a disturbance.
    pub(crate) fn heal(&self) {
        self.disturbances.update(|count| count - 1);
        if self.disturbances.get() == 0 {
            self.relay.heal();
        }
    }
}
