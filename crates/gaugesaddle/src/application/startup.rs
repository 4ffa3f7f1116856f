//! Start-up: builds the parts of the proxy in the order of their dependencies and spawns their tasks.

use super::listeners::{BoundSocket, ListenError, PortSharing};
use super::reload::Reload;
use crate::clock::{duration, Clock};
use crate::configuration::operator::OperatorConfig;
use crate::configuration::platform::{self, PlatformConfig};
use crate::discovery::backend_set::CommandOrigin;
use crate::discovery::call_schedule::CallSchedule;
use crate::discovery::subscription::Subscription;
use crate::discovery::watch::Watch;
use crate::error::Error;
use crate::federation::{LocalRegion, RegionWatch, Regions};
use crate::membership::allocation::AllocationWatch;
use crate::membership::zones::ZoneWatch;
use crate::membership::{LocalProxy, PeerWatch, Tier};
use crate::operations::hot_restart::{Connection, HotRestart, RemoteCommands};
use crate::operations::registry::{Bounds, Registry};
use crate::operations::{admin, state_socket};
use crate::serving::driver::{Driver, DriverParts};
use crate::serving::exchange::Input;
use crate::serving::extension::Extension;
use crate::serving::overload::OverloadWatch;
use crate::serving::request_rules::RequestRules;
use crate::serving::server::{Server, IDLE_FRACTION};
use crate::serving::upstream::{Http1, Pool};
use gaugesaddle_balancer::{Discovery, ListUpdate, ZoneId};
use gaugesaddle_federation::EvenAllocation;
use gaugesaddle_maintenance::MaintenanceCommand;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch, Notify};

/// Descriptors reserved for the listener, discovery, signals, standard streams and the runtime.
const RESERVED_DESCRIPTORS: usize = 32;
/// Descriptors of the admin interface and of the connection to another process, which clients do not get.
const ADMIN_DESCRIPTORS: usize = admin::MAX_CALLERS + 3;
/// While two processes of this proxy run, each may use this fraction (one in so many) of its descriptors.
const PROCESSES_AT_RESTART: usize = 2;
/// The bodies of open requests may use this fraction (one in so many) of the memory.
const BODY_MEMORY_DIVISOR: usize = 4;

type Inputs = mpsc::UnboundedSender<Input>;

/// A proxy that serves once its socket listens.
pub struct Proxy {
    pub socket: BoundSocket,
    pub registry: Rc<Registry>,
    pub server: Rc<Server>,
    pub hot_restart: Rc<HotRestart>,
    pub remote_commands: RemoteCommands,
    /// To be notified when the socket listens.
    pub listening: Rc<Notify>,
    /// It replaces another process.
    pub is_successor: bool,
    /// Another process may replace it.
    pub has_hot_restarts: bool,
    pub tier: Option<Rc<Tier>>,
    pub regions: Option<Rc<Regions>>,
}

/// What most parts need.
struct Common {
    clock: Clock,
    registry: Rc<Registry>,
    inputs: Inputs,
}

/// Builds a proxy and spawns its tasks.
///
/// # Errors
/// The configuration is invalid, or the system refuses something that the proxy requires.
pub async fn start(file: Option<PathBuf>, operator: OperatorConfig, hangup: Signal) -> Result<Proxy, Error> {
    let mut config = platform::load()?;
    // Only where the platform's operators can ask a process whether it is ready do they start one beside another.
    let has_hot_restarts = config.admin.is_some();
    let sharing = if has_hot_restarts { PortSharing::Shared } else { PortSharing::Exclusive };
    let socket = BoundSocket::bind("listen", config.listen, sharing)?;
    let admin =
        config.admin.map(|address| BoundSocket::bind("admin", address, PortSharing::Exclusive)?.listen());
    let admin = admin.transpose()?;
    let clock = Clock::new();
    let bounds = [1, PROCESSES_AT_RESTART].map(|processes| descriptor_bounds(&config, &operator, processes));
    let registry = Rc::new(Registry::new(&config.name, config.names.classes(), bounds, clock.now()));
    let hot_restart = Rc::new(HotRestart::new(handover_path(&config), registry.clone()));
    let predecessor = hot_restart.connect().await;
    let is_successor = predecessor.is_some();
    let state_socket = operator.state.socket.as_deref().map(|path| {
        if is_successor {
            // The predecessor answers there; its successor replaces its socket.
            state_socket::replace(path)
        } else {
            state_socket::bind(path)
        }
    });
    let state_socket = state_socket.transpose()?;
    let (sender, inputs) = mpsc::unbounded_channel();
    let common = Common { clock, registry: registry.clone(), inputs: sender };
    let server = server(&mut config, &common);
    let follow = Rc::new(Notify::new());
    let discovery = discovery_watch(&config, &common, follow.clone());
    let (remote_commands, commands) = mpsc::unbounded_channel();
    let listening = Rc::new(Notify::new());
    if let Some((excluded, connection)) = predecessor {
        inherit(&common, &hot_restart, excluded, connection, &listening, &remote_commands);
    }
    if let Some(known) = config.known.take() {
        let (update, index) = (ListUpdate::Cached, Some(known.index));
        let _ = common.inputs.send(Input::List { update, index, targets: known.targets });
    }
    let mut extensions: Vec<Box<dyn Extension>> = Vec::new();
    extensions.extend(overload(&config, &operator, &common)?);
    let regions = federation(&config, &operator, &common, &server, sharing, &mut extensions)?;
    let tier = membership(
        &mut config,
        &operator,
        &common,
        &server,
        is_successor,
        regions.as_ref(),
        &mut extensions,
    )?;
    spawn_driver(&config, &operator, &common, follow, extensions, inputs)?;
    let (discovery_address, addresses) = watch::channel(config.discovery);
    tokio::task::spawn_local(discovery.run(addresses));
    let (state, state_settings) = watch::channel(operator.state.clone());
    tokio::task::spawn_local(state_socket::serve(registry.clone(), clock, state_settings, state_socket));
    let document = config.document;
    let reload =
        Reload { document, file, operator, discovery: discovery_address, state, regions: regions.clone() };
    tokio::task::spawn_local(reload.run(hangup));
    tokio::task::spawn_local(apply_remote_commands(commands, common.inputs.clone()));
    if let Some(listener) = admin {
        let (registry, hot_restart) = (registry.clone(), hot_restart.clone());
        let admin = admin::Admin { clock, registry, inputs: common.inputs, hot_restart };
        tokio::task::spawn_local(Rc::new(admin).run(listener));
    }
    Ok(Proxy {
        socket,
        registry,
        server,
        hot_restart,
        remote_commands,
        listening,
        is_successor,
        has_hot_restarts,
        tier,
        regions,
    })
}

/// Descriptors and memory of one of so many processes. Clients and backends share what the rest leaves; other callers use
/// some of the clients' descriptors.
fn descriptor_bounds(config: &PlatformConfig, operator: &OperatorConfig, processes: usize) -> Bounds {
    let descriptors = config.sockets / processes;
    let state_callers = operator.state.socket.as_ref().map_or(0, |_| operator.state.connections + 1);
    let admin_callers = if config.admin.is_some() { ADMIN_DESCRIPTORS } else { 0 };
    let other_regions = if operator.region.enabled { operator.region.descriptors() } else { 0 };
    let other_callers = state_callers + admin_callers + other_regions + usize::from(operator.peers.enabled);
    let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    Bounds {
        connections: (available / 2).saturating_sub(other_callers).max(1),
        idle_connections: descriptors / IDLE_FRACTION,
        upstream_sockets: (available - available / 2).max(1),
        body_bytes: config.memory / BODY_MEMORY_DIVISOR,
    }
}

/// Where a process and its successor meet: in the folder that the platform keeps for both.
fn handover_path(config: &PlatformConfig) -> Option<PathBuf> {
    config.admin?;
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    let is_allowed = |c: &char| c.is_ascii_alphanumeric() || "-_".contains(*c);
    let name: String = config.name.chars().filter(is_allowed).collect();
    Some(PathBuf::from(folder).join(format!("gaugesaddle-{name}.upgrade")))
}

fn server(config: &mut PlatformConfig, common: &Common) -> Rc<Server> {
    let rules = RequestRules {
        names: std::mem::take(&mut config.names),
        classes: config.balancer.classes.clone(),
        longest: config.longest,
    };
    let body_bytes = config.memory / BODY_MEMORY_DIVISOR;
    let (registry, inputs) = (common.registry.clone(), common.inputs.clone());
    Rc::new(Server::new(common.clock, rules, config.balancer.tick, body_bytes, inputs, registry))
}

fn discovery_watch(config: &PlatformConfig, common: &Common, follow: Rc<Notify>) -> Watch {
    let index = config.known.as_ref().map(|known| known.index);
    let subscription = match config.balancer.discovery {
        Discovery::Push => Subscription::pushed(config.drain_grace, index),
        Discovery::Subscribe(within) => {
            let schedule = CallSchedule::new(config.balancer.proxies, duration(within), config.seed);
            Subscription::polled(schedule.among(common.registry.live_proxies.clone()), index)
        }
    };
    Watch {
        subscription,
        clock: common.clock,
        limits: config.list_limits,
        follow,
        inputs: common.inputs.clone(),
    }
}

/// Takes over from the process before this one: its exclusions, before any list, so that no excluded backend is used.
fn inherit(
    common: &Common, hot_restart: &Rc<HotRestart>, excluded: Vec<String>, connection: Connection,
    listening: &Rc<Notify>, commands: &RemoteCommands,
) {
    for name in excluded {
        let (reply, _) = tokio::sync::oneshot::channel();
        let _ = common.inputs.send(Input::Maintain {
            name: name.into(),
            command: MaintenanceCommand::Exclude,
            origin: CommandOrigin::OtherProcess,
            reply,
        });
    }
    let following = hot_restart.clone().follow_predecessor(connection, listening.clone(), commands.clone());
    tokio::task::spawn_local(following);
}

/// The detection of retry storms, where it is on.
fn overload(
    config: &PlatformConfig, operator: &OperatorConfig, common: &Common,
) -> Result<Option<Box<dyn Extension>>, Error> {
    if !operator.storm.enabled {
        return Ok(None);
    }
    let max_s = config.max_retry_after.map_or(u64::MAX, |max| (max.0 / 1_000_000).max(1));
    let longest_s = operator.storm.longest_retry_after_s.min(max_s);
    let settings = gaugesaddle_overload::Settings { longest_s, sources: operator.storm.sources };
    let controller =
        gaugesaddle_overload::OverloadController::new(settings, config.seed).map_err(Error::Overload)?;
    Ok(Some(Box::new(OverloadWatch::new(controller, common.registry.clone()))))
}

/// Other regions, where there are any.
fn federation(
    config: &PlatformConfig, operator: &OperatorConfig, common: &Common, server: &Rc<Server>,
    sharing: PortSharing, extensions: &mut Vec<Box<dyn Extension>>,
) -> Result<Option<Rc<Regions>>, Error> {
    if !operator.region.enabled {
        return Ok(None);
    }
    let (proxies, position) = (config.balancer.proxies, config.balancer.position);
    let local = LocalRegion {
        clock: common.clock,
        allocation: EvenAllocation { proxies, position },
        classes: &config.balancer.classes,
        class_names: server.rules.names.classes(),
        seed: config.seed,
    };
    let regions = Regions::new(operator.region.clone(), local)?;
    let listen = |address| BoundSocket::bind("region.listen", address, sharing)?.listen();
    let gateway = operator.region.listen.map(listen).transpose()?;
    let (classes, tick) = (&config.balancer.classes, config.balancer.tick);
    extensions.push(Box::new(RegionWatch::new(regions.clone(), common.registry.clone(), classes, tick)));
    tokio::task::spawn_local(regions.clone().watch_keys());
    tokio::task::spawn_local(regions.clone().serve(server.clone(), gateway));
    Ok(Some(regions))
}

/// The tier of proxies, where it is on, with what depends on it.
fn membership(
    config: &mut PlatformConfig, operator: &OperatorConfig, common: &Common, server: &Rc<Server>,
    is_successor: bool, regions: Option<&Rc<Regions>>, extensions: &mut Vec<Box<dyn Extension>>,
) -> Result<Option<Rc<Tier>>, Error> {
    if !operator.peers.enabled {
        return Ok(None);
    }
    let names = &server.rules.names;
    let (name, zone, position) = (config.name.clone(), names.zone().into(), config.balancer.position);
    let local = LocalProxy { name, zone, position };
    let tier = Tier::new(&operator.peers, config.peers.take(), local, names.classes(), common.clock)?;
    // The process before this one represents the member as long as it holds the address.
    let socket = if is_successor {
        None
    } else {
        Some(tier.bind().map_err(ListenError::at("peers.listen", tier.listen()))?)
    };
    let registry = &common.registry;
    let zones = names.zones().iter().map(|zone| ZoneId(gaugesaddle_balancer::settings::stable_id(zone)));
    let classes = &config.balancer.classes;
    extensions.push(Box::new(PeerWatch::new(tier.clone(), registry.clone(), zones.collect(), classes.len())));
    *registry.peers.borrow_mut() = Some(tier.clone());
    if operator.shares.enabled {
        let (tier, registry) = (tier.clone(), registry.clone());
        extensions.push(Box::new(AllocationWatch::new(operator.shares, tier, registry, regions.cloned())));
    }
    if operator.failover.enabled {
        let (tier, registry) = (tier.clone(), registry.clone());
        match ZoneWatch::new(operator.failover, tier, registry, names.zones(), classes, config.seed) {
            Some(watch) => extensions.push(Box::new(watch)),
            None => tracing::error!("failover: {} zones, expected up to 8: off", names.zones().len()),
        }
    }
    tokio::task::spawn_local(tier.clone().run(socket));
    Ok(Some(tier))
}

fn spawn_driver(
    config: &PlatformConfig, operator: &OperatorConfig, common: &Common, follow: Rc<Notify>,
    extensions: Vec<Box<dyn Extension>>, inputs: mpsc::UnboundedReceiver<Input>,
) -> Result<(), Error> {
    let Common { clock, registry, .. } = common;
    let pool = Pool::new(*clock, config.dial_timeout, config.conn_idle, registry.clone());
    let limits = operator.limits.bounds();
    let driver = Driver::new(DriverParts {
        extensions,
        clock: *clock,
        config: gaugesaddle_balancer::Config { limits, ..config.balancer.clone() },
        seed: config.seed,
        open_cap: config.open_cap,
        max_backends: config.list_limits.entries,
        upstreams: Rc::new(Http1(Rc::new(pool))),
        inputs: common.inputs.clone(),
        follow,
        registry: registry.clone(),
    })?;
    let driver = tokio::task::spawn_local(driver.run(inputs));
    let registry = registry.clone();
    tokio::task::spawn_local(async move {
        // Without its driver the proxy fails all requests; it reports that it is not ready.
        if let Err(e) = driver.await {
            tracing::error!("the driver ended: {e}");
        }
        registry.serving.set(false);
    });
    Ok(())
}

/// Applies here what the operators commanded at the other process.
async fn apply_remote_commands(
    mut commands: mpsc::UnboundedReceiver<(String, MaintenanceCommand)>, inputs: Inputs,
) {
    while let Some((name, command)) = commands.recv().await {
        let (reply, outcome) = tokio::sync::oneshot::channel();
        let origin = CommandOrigin::OtherProcess;
        let _ = inputs.send(Input::Maintain { name: name.as_str().into(), command, origin, reply });
        let outcome = outcome.await;
        tracing::info!(backend = %name, ?command, ?outcome, "maintenance, from the other process");
    }
}
