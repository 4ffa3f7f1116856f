//! Processes of `gaugesaddle-membership` in a simulated tier.

use super::{OutgoingDatagrams, Process, ProcessFactory};
use gaugesaddle_balancer::Time;
use gaugesaddle_membership::{Authenticator, Boot, Membership, Output, Settings, Signals, TierConfig};
use std::net::{Ipv4Addr, SocketAddr};

/// Starts processes of `gaugesaddle-membership`, which publish a record of typical size at the configured interval.
pub struct MembershipFactory {
    /// Settings of all processes.
    pub settings: Settings,
    /// Whether datagrams are authenticated.
    pub keyed: bool,
}

impl Default for MembershipFactory {
    fn default() -> MembershipFactory {
        MembershipFactory { settings: Settings::default(), keyed: true }
    }
}

struct MembershipProcess {
    membership: Membership,
    publish_interval: u64,
    next_publish: u64,
    outputs: Vec<Output>,
    log: Vec<String>,
}

/// The address of a member, which encodes its index.
pub fn address(index: usize) -> SocketAddr {
    (Ipv4Addr::from(0x7f00_0001 + index as u32), 7946).into()
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(a) => (u32::from(*a.ip()) - 0x7f00_0001) as usize,
        SocketAddr::V6(_) => 0,
    }
}

impl ProcessFactory for MembershipFactory {
    fn start(&self, members: usize, index: usize, boot: u32, seed: u64, now: u64) -> Box<dyn Process> {
        let config = TierConfig {
            addresses: (0..members).map(address).collect(),
            own_index: index as u16,
            broadcast_address: None,
            name: format!("p{index}"),
            zone: format!("z{}", index % 3),
        };
        let auth = if self.keyed {
            Authenticator::from_secret(&[1; 32]).unwrap_or(Authenticator::disabled())
        } else {
            Authenticator::disabled()
        };
        let membership = Membership::new(self.settings.clone(), auth, config, Boot(boot), seed, Time(now));
        let membership = membership.expect("the tier configuration is valid");
        let publish_interval = self.settings.publish_interval.0;
        let log =
            vec![format!("peers: this is {index} of {members}, boot {boot:08x}, at {}", address(index))];
        Box::new(MembershipProcess {
            membership,
            publish_interval,
            next_publish: now,
            outputs: Vec::new(),
            log,
        })
    }
}

impl MembershipProcess {
    fn drain_outputs(&mut self, out: &mut OutgoingDatagrams) {
        for output in self.outputs.drain(..) {
            match output {
                Output::Send { to, bytes } => out.push((index_of(to), bytes)),
                Output::MessageReceived { .. } => {} // the simulated host does not handle messages
                Output::StateChanged(transition) => self.log.push(format!("peers: {transition}")),
                _ => {}
            }
        }
    }
}

impl Process for MembershipProcess {
    fn datagram(&mut self, now: u64, from: usize, bytes: &[u8], out: &mut OutgoingDatagrams) {
        self.membership.handle_datagram(Time(now), address(from), bytes, &mut self.outputs);
        self.drain_outputs(out);
    }

    fn run_timers(&mut self, now: u64, out: &mut OutgoingDatagrams) {
        if now >= self.next_publish {
            self.next_publish = now + self.publish_interval;
            let zone = gaugesaddle_membership::ZoneSignal {
                backends: 10.0,
                capacity_per_s: 300.0,
                ..Default::default()
            };
            let signals =
                Signals { arrivals_per_s: vec![10.0; 3], zones: vec![zone; 3], ..Signals::default() };
            self.membership.publish(Time(now), &signals.encode());
        }
        self.membership.run_due_timers(Time(now), &mut self.outputs);
        self.drain_outputs(out);
    }

    fn wake_at(&self) -> u64 {
        self.membership.next_timer_at().0.min(self.next_publish)
    }

    fn leave(&mut self, _: u64, out: &mut OutgoingDatagrams) {
        self.membership.leave(&mut self.outputs);
        self.drain_outputs(out);
    }

    fn live_boot(&self, index: usize) -> Option<u32> {
        self.membership.live_boot(index as u16).map(|b| b.0)
    }

    fn log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    fn record(&self, index: usize) -> Option<(u32, u32)> {
        self.membership.record(index as u16).map(|r| (r.boot.0, r.version))
    }
}
