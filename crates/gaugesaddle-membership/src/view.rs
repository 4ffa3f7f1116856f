//! What one proxy sees of its tier, and how sure it may be.

use gaugesaddle_balancer::Micros;

/// How what is seen relates to what was told and what was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// More than half of the told tier lives.
    Most,
    /// Fewer were ever met than half of the told tier: it is small, or it is only just starting. Nobody is missing.
    Small,
    /// Half or more of those that were met are lost, and none of them said that it leaves: this side may be the
    /// smaller one of a torn tier, and the other side may decide otherwise.
    Torn,
}

impl Shape {
    /// As states and logs write it.
    pub fn name(self) -> &'static str {
        match self {
            Shape::Most => "most",
            Shape::Small => "small",
            Shape::Torn => "torn",
        }
    }
}

/// A moment's view. This proxy counts among the living.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Places of the told list.
    pub told: usize,
    /// Those that live, suspects too.
    pub living: usize,
    /// Of these those that somebody found silent.
    pub suspect: usize,
    /// Met, and dead.
    pub dead: usize,
    /// Said that they leave.
    pub left: usize,
    /// Never met.
    pub unseen: usize,
    /// So long nobody came to the living or went from them.
    pub unchanged: Micros,
    /// So long ago anybody last answered a question of this proxy's; what is much older than a few questions says that
    /// nobody hears it.
    pub answered: Micros,
    /// So long ago this proxy last came back from a stall; what it holds is as old as that until it has asked anew.
    pub awake: Micros,
    /// How far it stretches its own waits, 1 to 4.
    pub health: u32,
}

impl View {
    /// More than half of the told places live.
    pub fn most_of_told(&self) -> bool {
        self.living * 2 > self.told
    }

    /// More than half of those that were met and did not leave live.
    pub fn most_of_known(&self) -> bool {
        self.living > self.dead
    }

    /// A small tier from a torn one.
    pub fn shape(&self) -> Shape {
        if !self.most_of_known() {
            Shape::Torn
        } else if self.most_of_told() {
            Shape::Most
        } else {
            Shape::Small
        }
    }
}

#[cfg(test)]
mod tests;
