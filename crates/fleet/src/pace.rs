//! Paces filling tasks beside serving ones. Answers serving tasks whose tail nears its target
//! because of what fills their worker, seen only in rough figures half a second old.

/// The pace of a worker's filling tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    /// Looks in a row with every tail well under its target.
    calm: u32,
    /// The pace, in percent.
    pub percent: u32,
}

/// A tail above this share of its target slows the filling tasks, in percent.
const SLOW_ABOVE_PERCENT: f64 = 85.0;
/// Every tail below this share of its target lets the filling tasks speed up, in percent.
const SPEED_BELOW_PERCENT: f64 = 60.0;
/// Calm looks before the pace rises: one figure is rough and half a second old.
const CALM_LOOKS: u32 = 2;
/// What a rise adds, in percentage points.
const RISE: u32 = 20;
/// A pace below this stops the filling tasks, in percent: slower ones only hold memory.
const LEAST: u32 = 12;

impl Default for Pace {
    fn default() -> Self {
        Self { calm: 0, percent: 100 }
    }
}

impl Pace {
    /// Takes in the tails of a worker's serving tasks, as shares of their targets in percent.
    pub fn observe(&mut self, worst_percent: Option<f64>) {
        let Some(worst) = worst_percent else {
            self.percent = 100;
            self.calm = 0;
            return;
        };
        if worst > SLOW_ABOVE_PERCENT {
            self.calm = 0;
            let slowed = if worst > 100.0 { self.percent / 3 } else { self.percent * 2 / 3 };
            self.percent = if slowed < LEAST { 0 } else { slowed };
        } else if worst < SPEED_BELOW_PERCENT {
            self.calm += 1;
            if self.calm >= CALM_LOOKS {
                self.percent = (self.percent + RISE).min(100);
            }
        } else {
            self.calm = 0;
        }
    }
}
