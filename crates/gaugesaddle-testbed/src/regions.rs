//! The regions of a run: their certificate authority, the region sections of the proxies' operator files, and the links
//! between gateways.

use crate::authority::{Authority, KeyFiles};
use crate::lease::Lease;
use crate::relay::Relay;
use crate::scenario::{Regions, Scenario};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Port of a proxy's gateway.
const GATEWAY_PORT: u16 = 5001;

/// The name of a region.
pub fn name(region: usize) -> String {
    ["north", "south", "west", "east"]
        .get(region)
        .map_or_else(|| format!("r{region}"), std::string::ToString::to_string)
}

/// The federation of a run.
pub struct Federation {
    settings: Regions,
    authority: Authority,
    folder: PathBuf,
    /// By proxy: its region, its gateway, and the link to it.
    gateways: Vec<(usize, SocketAddr, Rc<Relay>)>,
    extra_us: Cell<u64>,
}

impl Federation {
    pub async fn new(s: &Scenario, lease: &Lease, folder: &Path) -> io::Result<Federation> {
        let mut gateway_links = Vec::new();
        for proxy in 0..s.proxies {
            let gateway = SocketAddr::new(lease.proxy(proxy).ip(), GATEWAY_PORT);
            let relay = Relay::start(lease.peer(), gateway).await?;
            gateway_links.push((s.region(proxy), gateway, relay));
        }
        let (authority, extra_us) = (Authority::new(), Cell::new(0));
        let federation = Federation {
            settings: s.regions.clone(),
            authority,
            folder: folder.into(),
            gateways: gateway_links,
            extra_us,
        };
        for region in 0..federation.settings.count {
            std::fs::create_dir_all(federation.key_files(region).folder)?;
        }
        federation.new_keys()?;
        federation.delay(0);
        Ok(federation)
    }

    fn key_files(&self, region: usize) -> KeyFiles {
        KeyFiles { folder: self.folder.join(name(region)) }
    }

    /// Issues new keys to every region.
    pub fn new_keys(&self) -> io::Result<()> {
        (0..self.settings.count).try_for_each(|region| {
            self.key_files(region).put_all(&self.authority.issue(&name(region)), &self.authority.pem)
        })
    }

    /// Additional latency between regions, each way.
    pub fn delay(&self, by_us: u64) {
        self.extra_us.set(by_us);
        let one_way_delay = Duration::from_micros((self.settings.way_ms * 1e3) as u64 + by_us);
        self.gateways.iter().for_each(|(_, _, relay)| relay.delay(one_way_delay));
    }

    pub fn partition(&self, cut: bool) {
        self.gateways.iter().for_each(|(_, _, relay)| relay.block(cut));
    }

    /// The `[region]` section of a proxy's operator file.
    pub fn section(&self, proxy: usize) -> String {
        let (region, gateway, _) = &self.gateways[proxy];
        let (Regions { per_s, in_flight, hops, way_ms, .. }, key_files) =
            (&self.settings, self.key_files(*region));
        let mut text = format!(
            "[region]\nenabled = true\nname = {:?}\nlisten = \"{gateway}\"\nhops = {hops}\n{}",
            name(*region),
            key_files.to_toml()
        );
        let trip = ((2.0 * way_ms) as u64 + 5).max(1);
        for other in (0..self.settings.count).filter(|o| o != region) {
            let remote = self.gateways.iter().filter(|g| g.0 == other);
            let addresses: Vec<String> = remote.map(|g| format!("\"{}\"", g.2.address())).collect();
            text += &format!(
                "[[region.other]]\nname = {:?}\naddresses = [{}]\nround_trip_ms = {trip}\n\
                 send = {{ per_s = {per_s}, in_flight = {in_flight} }}\n\
                 take = {{ per_s = {per_s}, in_flight = {in_flight} }}\n",
                name(other),
                addresses.join(", ")
            );
        }
        text
    }
}
