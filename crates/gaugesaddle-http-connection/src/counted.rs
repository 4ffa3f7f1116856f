//! Counts resources in use.

use std::cell::Cell;
use std::rc::Rc;

/// One unit of a counted resource; the unit is released when the permit is dropped.
pub struct CountedPermit(Rc<Cell<usize>>);

impl CountedPermit {
    /// Adds one to the count.
    pub fn acquire(count: &Rc<Cell<usize>>) -> CountedPermit {
        count.set(count.get() + 1);
        CountedPermit(count.clone())
    }
}

impl Drop for CountedPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
