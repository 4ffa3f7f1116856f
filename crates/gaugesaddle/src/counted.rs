//! Places that are counted while somebody holds them.

use std::cell::Cell;
use std::rc::Rc;

/// One of a number of places, given back when it is dropped.
pub struct Counted(Rc<Cell<usize>>);

impl Counted {
    /// Takes one more.
    pub fn take(count: &Rc<Cell<usize>>) -> Counted {
        count.set(count.get() + 1);
        Counted(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
