//! Which tasks the workers of a cell can hold at all, however busy they are now. Answers this load: jobs that
//! ask for what no worker has, for good or until one comes, beside jobs that could start.

use super::*;

/// The workers of a cell that get new runs, by what they can hold.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Inventory {
    /// In order; no two of them have the same service and resources.
    shapes: Vec<Shape>,
}

impl Inventory {
    /// Returns the inventory of workers with these entries.
    pub fn new<'a>(entries: impl IntoIterator<Item = &'a Registration>) -> Self {
        let mut inventory = Self::default();
        for shape in entries.into_iter().map(Shape::new) {
            if !inventory.shapes.iter_mut().any(|known| known.merge(&shape)) {
                inventory.shapes.push(shape);
            }
        }
        inventory.shapes.sort();
        inventory
    }

    /// Returns whether there is a worker of the service that can hold a task of the step. The members of a gang
    /// have to be held at the same time.
    pub fn holds(&self, service: &str, step: &Step) -> bool {
        let slots = self.shapes.iter().map(|shape| shape.slots(service, step));
        let needed = if step.gang { step.count.into() } else { 1 };
        slots.fold(0, u64::saturating_add) >= needed
    }
}
