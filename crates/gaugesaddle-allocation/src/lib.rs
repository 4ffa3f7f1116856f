//! What all proxies together may do, dealt out among those that live by what each needs. No I/O, clock or threads.
//!
//! Two sorts of quantity, each with its own law:
//!
//! - [`parts`] is the soft law, for what should sum to the whole and is better a little off than idle: every proxy
//!   computes the same parts from the same view. [`Glide`] moves a part, so that it does not chase noise.
//! - [`uses`] says which backends each proxy uses, by its part: the more traffic, the more backends.
//! - [`Need`] is what a proxy tells the others to go by, [`Dealer`] what it makes of what they tell it.
//! - [`Escrow`] is the hard law, for what the sum may never exceed: each place is entitled to an even part, and lends
//!   what it does not need for a time; [`Loans`] asks and lends by need. What is lent is nobody's but the borrower's
//!   until the time is surely over.
//!
//! **Under partition** soft parts follow each side's view, and sum to the whole on each side. Hard ones stay what they
//! were: loans run out, entitlements stay with their places.
//!
//! **A paused process** finds its loans run out by its own clock when it wakes, and may use none of them.
//!
//! **Bounds.** A hard quantity has [`MOST_LOANS`] loans given and as many taken at a process.
//!
//! Times are of the host's monotonic clock, and only spans of two machines are compared, with a margin for clocks of
//! unlike rates. Not covered: two living processes of one place (both would hold its entitlement), and a process that is
//! stopped between the look at its part and the use of it.

mod dealer;
mod escrow;
mod loans;
mod need;
mod subset;

pub use dealer::{Dealer, Dealing, Listed, Look, Seen, AWAKE};
pub use escrow::{Escrow, Loan, LoanId, Terms, Word, MOST_LOANS};
pub use loans::{Letter, LoanView, Loans, MOST_QUANTITIES, WORD_BYTES};
pub use need::{parts, Glide, Law, Need, Rate};
pub use subset::{uses, Crowd, Link, Member, Server};
