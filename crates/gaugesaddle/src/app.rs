//! Start-up, signals and the end of a serving proxy.

use crate::backend_set::CommandOrigin;
use crate::driver::{Driver, Parts};
use crate::error::Error;
use crate::exchange::Input;
use crate::failover::ZoneWatch;
use crate::hot_restart::HotRestart;
use crate::operator::{self, Operator};
use crate::peers::{self, PeerWatch, Tier};
use crate::region::{Own, RegionWatch, Regions};
use crate::registry::{Bounds, Registry};
use crate::renewal::Renewal;
use crate::seam::Subsystem;
use crate::shares::ShareWatch;
use crate::storm::StormWatch;
use crate::{admin, clock, config, discovery, form, pacing, server, state, upstream};
use gaugesaddle_federation::EvenAllocation;
use gaugesaddle_maintenance::MaintenanceCommand;
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};

/// Descriptors kept for the listener, discovery, signals, standard streams and the runtime.
const RESERVE: usize = 32;
/// What the operators' calls and the line to another process take: descriptors that clients do not get.
const OPERATORS: usize = admin::MAX_CALLERS + 3;
/// While two processes share what one may use, each goes by this part of it.
const SHARED: usize = 2;
/// How often a process that replaces another looks whether it can serve.
const LOOK: Duration = Duration::from_millis(10);
/// Connections that the system may hold ready for the proxy to accept.
const BACKLOG: i32 = 1024;
/// The bodies of open requests may take this part of the memory.
const BODY_PART: usize = 4;

/// Serves until SIGTERM or SIGINT.
pub fn run(file: Option<PathBuf>, operator: Operator) -> Result<(), Error> {
    let told = std::env::var("GAUGESADDLE_LOG").ok().and_then(|l| l.parse().ok());
    let level: tracing::Level = told.unwrap_or(operator.log.level.into());
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::system("runtime"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(file, operator))
}

/// Caught from before anything slow: uncaught, each of these signals ends the process.
fn catch(kind: SignalKind, doing: &'static str) -> Result<Signal, Error> {
    signal(kind).map_err(Error::system(doing))
}

/// What a running proxy takes up at SIGHUP.
struct Reload {
    /// The platform's document and the operator's file as they were at the start.
    document: serde_json::Value,
    file: Option<PathBuf>,
    operator: Operator,
    discovery: watch::Sender<SocketAddr>,
    state: watch::Sender<operator::State>,
    regions: Option<Rc<Regions>>,
}

impl Reload {
    /// Reads both files again at each SIGHUP. If one of them cannot be used, nothing changes; the proxy goes on
    /// serving from the list that it holds.
    async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            let operator = self.file.as_deref().map_or(Ok(Operator::default()), operator::load);
            match (config::load_again(&self.document), operator) {
                (Ok(newer), Ok(operator)) => self.take_up(&newer, operator),
                (Err(e), _) => tracing::warn!("the configuration stays as it was: {e}"),
                (_, Err(e)) => tracing::warn!("the configuration stays as it was: {e}"),
            }
        }
    }

    fn take_up(&self, newer: &config::Config, operator: Operator) {
        let mut keys = config::not_taken_up(&self.document, &newer.document);
        keys.extend(operator::not_taken_up(&self.operator, &operator).into_iter().map(String::from));
        let keys = keys.join(", ");
        let rest = if keys.is_empty() { keys } else { format!("; not taken up before a restart: {keys}") };
        tracing::info!("configuration read again, discovery at {}{rest}", newer.discovery);
        self.discovery.send_if_modified(|held| std::mem::replace(held, newer.discovery) != newer.discovery);
        if let Some(regions) = &self.regions {
            regions.take_up(&operator.region);
        }
        let state = operator.state;
        self.state.send_if_modified(|held| std::mem::replace(held, state.clone()) != state);
    }
}

async fn serve(file: Option<PathBuf>, operator: Operator) -> Result<(), Error> {
    let hangup = catch(SignalKind::hangup(), "SIGHUP")?;
    let mut terminate = catch(SignalKind::terminate(), "SIGTERM")?;
    let mut interrupt = catch(SignalKind::interrupt(), "SIGINT")?;
    let config = config::load()?;
    // Only where the platform's operators can ask a process whether it is ready do they start one beside another.
    let upgrades = config.admin.is_some();
    let socket = bind("listen", config.listen, upgrades)?;
    let admin = config.admin.map(|at| listen("admin", at, bind("admin", at, false)?)).transpose()?;
    let clock = clock::Clock::new();
    // Clients and backends share what the rest leaves; other callers take from the clients' part.
    let callers = operator.state.socket.as_ref().map_or(0, |_| operator.state.connections + 1)
        + if upgrades { OPERATORS } else { 0 }
        + if operator.region.enabled { operator.region.descriptors() } else { 0 }
        + usize::from(operator.peers.enabled);
    let body_bytes = config.memory / BODY_PART;
    let bounds = |sockets: usize| {
        let (kept, left) = (sockets / server::KEPT_PART, sockets.saturating_sub(RESERVE));
        let connections = (left / 2).saturating_sub(callers).max(1);
        Bounds { connections, kept, upstream_sockets: (left - left / 2).max(1), body_bytes }
    };
    let bounds = [bounds(config.sockets), bounds(config.sockets / SHARED)];
    let registry = Rc::new(Registry::new(&config.name, config.names.classes(), bounds, clock.now()));
    let hot_restart = Rc::new(HotRestart::new(line(&config), registry.clone()));
    let before = hot_restart.connect().await;
    let bound = operator.state.socket.as_deref().map(|path| match before {
        // The process before this one answers there; its successor takes the place over.
        Some(_) => state::replace(path),
        None => state::bind(path),
    });
    let bound = bound.transpose()?;
    let (sender, inputs) = mpsc::unbounded_channel();
    let follow = Rc::new(Notify::new());
    let pool = Rc::new(upstream::Pool::new(clock, config.dial_timeout, config.conn_idle, registry.clone()));
    let server = Rc::new(server::Server {
        clock,
        rules: form::Rules {
            names: config.names,
            classes: config.module.classes.clone(),
            longest: config.longest,
        },
        tick: config.module.tick,
        body_room: Cell::new(body_bytes),
        inputs: sender.clone(),
        registry: registry.clone(),
        next: Cell::new(0),
        links: RefCell::default(),
        ids: RefCell::default(),
        freed: Notify::new(),
    });
    let index = config.known.as_ref().map(|k| k.index);
    let renewal = match config.module.discovery {
        gaugesaddle_balancer::Discovery::Push => Renewal::pushed(config.drain_grace, index),
        gaugesaddle_balancer::Discovery::Subscribe(within) => {
            let (proxies, within) = (config.module.proxies, clock::duration(within));
            let pacing = pacing::Pacing::new(proxies, within, config.seed).among(registry.living.clone());
            Renewal::asked(pacing, index)
        }
    };
    let room = config.room;
    let watch = discovery::Watch { renewal, clock, room, follow: follow.clone(), inputs: sender.clone() };
    let (remote_commands, commands) = mpsc::unbounded_channel();
    let listening = Rc::new(Notify::new());
    let replaces = before.is_some();
    if let Some((excluded, other)) = before {
        // Ahead of any list: what is out must not be used by the first of them.
        for name in excluded {
            let (reply, _) = tokio::sync::oneshot::channel();
            let _ = sender.send(Input::Maintain {
                name: name.into(),
                command: MaintenanceCommand::Exclude,
                origin: CommandOrigin::OtherProcess,
                reply,
            });
        }
        let following =
            hot_restart.clone().follow_predecessor(other, listening.clone(), remote_commands.clone());
        tokio::task::spawn_local(following);
    }
    if let Some(known) = config.known {
        let (update, index) = (gaugesaddle_balancer::ListUpdate::Cached, Some(known.index));
        let _ = sender.send(Input::List { update, index, targets: known.targets });
    }
    let storm = operator.storm.enabled.then(|| {
        let told = config.max_retry_after.map(|max| (max.0 / 1_000_000).max(1));
        let longest_s = operator.storm.longest_retry_after_s.min(told.unwrap_or(u64::MAX));
        let settings = gaugesaddle_overload::Settings { longest_s, sources: operator.storm.sources };
        gaugesaddle_overload::OverloadController::new(settings, config.seed)
    });
    let mut subsystems: Vec<Box<dyn Subsystem>> = Vec::new();
    if let Some(storm) = storm.transpose().map_err(Error::Storm)? {
        subsystems.push(Box::new(StormWatch::new(storm, registry.clone())));
    }
    let own = Own {
        clock,
        share: EvenAllocation { proxies: config.module.proxies, position: config.module.position },
        classes: &config.module.classes,
        names: server.rules.names.classes(),
        seed: config.seed,
    };
    let regions = operator.region.enabled.then(|| Regions::new(operator.region.clone(), own)).transpose()?;
    let gateway = regions.as_ref().and(operator.region.listen);
    let gateway =
        gateway.map(|at| listen("region.listen", at, bind("region.listen", at, upgrades)?)).transpose()?;
    if let Some(regions) = &regions {
        let (classes, tick) = (&config.module.classes, config.module.tick);
        subsystems.push(Box::new(RegionWatch::new(regions.clone(), registry.clone(), classes, tick)));
        tokio::task::spawn_local(regions.clone().watch_keys());
        tokio::task::spawn_local(regions.clone().serve(server.clone(), gateway));
    }
    let tier = operator.peers.enabled.then(|| {
        let own = peers::LocalProxy {
            name: config.name.clone(),
            zone: server.rules.names.zone().into(),
            position: config.module.position,
        };
        Tier::new(&operator.peers, config.peers.clone(), own, server.rules.names.classes(), clock)
    });
    let tier = tier.transpose()?;
    if let Some(tier) = &tier {
        // The process before this one speaks for the place as long as it holds the address.
        let socket = if replaces {
            None
        } else {
            Some(tier.bind().map_err(cannot_listen("peers.listen", tier.listen()))?)
        };
        let zones = server.rules.names.zones().iter();
        let zones =
            zones.map(|z| gaugesaddle_balancer::ZoneId(gaugesaddle_balancer::settings::number(z))).collect();
        let classes = config.module.classes.len();
        subsystems.push(Box::new(PeerWatch::new(tier.clone(), registry.clone(), zones, classes)));
        *registry.peers.borrow_mut() = Some(tier.clone());
        if operator.shares.enabled {
            let (tier, registry) = (tier.clone(), registry.clone());
            subsystems.push(Box::new(ShareWatch::new(operator.shares, tier, registry, regions.clone())));
        }
        if operator.failover.enabled {
            let (tier, registry) = (tier.clone(), registry.clone());
            let (names, classes) = (server.rules.names.zones(), &config.module.classes);
            let watch = ZoneWatch::new(operator.failover, tier, registry, names, classes, config.seed);
            match watch {
                Some(watch) => subsystems.push(Box::new(watch)),
                None => tracing::error!("failover: {} zones, expected up to 8: off", names.len()),
            }
        }
        tokio::task::spawn_local(tier.clone().run(socket));
    }
    let driver = Driver::new(Parts {
        subsystems,
        clock,
        config: gaugesaddle_balancer::Config { limits: operator.limits.bounds(), ..config.module },
        seed: config.seed,
        open_cap: config.open_cap,
        most_backends: room.lines,
        upstreams: Rc::new(upstream::Http1(pool)),
        inputs: sender.clone(),
        follow,
        registry: registry.clone(),
    })?;
    let driver = tokio::task::spawn_local(driver.run(inputs));
    let serving = registry.clone();
    tokio::task::spawn_local(async move {
        // Without its driver the proxy fails what it is sent; it says so, that no more is sent.
        if let Err(e) = driver.await {
            tracing::error!("the driver ended: {e}");
        }
        serving.serving.set(false);
    });
    let (discovery, addresses) = watch::channel(config.discovery);
    tokio::task::spawn_local(watch.run(addresses));
    let (state, settings) = watch::channel(operator.state.clone());
    tokio::task::spawn_local(state::serve(registry.clone(), clock, settings, bound));
    let reload =
        Reload { document: config.document, file, operator, discovery, state, regions: regions.clone() };
    tokio::task::spawn_local(reload.run(hangup));
    tokio::task::spawn_local(apply_remote_commands(commands, sender.clone()));
    if let Some(listener) = admin {
        let (registry, hot_restart) = (registry.clone(), hot_restart.clone());
        let admin = admin::Admin { clock, registry, inputs: sender, hot_restart };
        tokio::task::spawn_local(Rc::new(admin).run(listener));
    }
    let stopping = hot_restart.clone();
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let has_successor = stopping.has_successor();
        if let Some(tier) = tier.filter(|_| !has_successor) {
            tier.leave();
        }
        has_successor
    };
    tokio::pin!(stop);
    // Clients of the process before this one would wait here for backends that it does not know yet.
    while replaces && !registry.serving.get() {
        tokio::select! {
            _ = &mut stop => return Ok(()),
            () = tokio::time::sleep(LOOK) => {}
        }
    }
    let listener = listen("listen", config.listen, socket)?;
    registry.listening.set(true);
    listening.notify_one();
    if upgrades {
        tokio::task::spawn_local(hot_restart.await_successors(remote_commands));
    }
    server.clone().run(listener, stop).await;
    if let Some(regions) = regions {
        regions.drained(server.rules.longest).await;
    }
    Ok(())
}

/// Applies here what the operators commanded at the other process.
async fn apply_remote_commands(
    mut commands: mpsc::UnboundedReceiver<(String, MaintenanceCommand)>, inputs: mpsc::UnboundedSender<Input>,
) {
    while let Some((name, command)) = commands.recv().await {
        let (reply, outcome) = tokio::sync::oneshot::channel();
        let origin = CommandOrigin::OtherProcess;
        let _ = inputs.send(Input::Maintain { name: name.as_str().into(), command, origin, reply });
        let outcome = outcome.await;
        tracing::info!(backend = %name, ?command, ?outcome, "maintenance, from the other process");
    }
}

/// Where a process and its successor meet: in the folder that the platform keeps for both.
fn line(config: &config::Config) -> Option<PathBuf> {
    config.admin?;
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty())?;
    let name: String =
        config.name.chars().filter(|c| c.is_ascii_alphanumeric() || "-_".contains(*c)).collect();
    Some(PathBuf::from(folder).join(format!("gaugesaddle-{name}.upgrade")))
}

fn cannot_listen(key: &'static str, at: SocketAddr) -> impl Fn(std::io::Error) -> Error {
    move |source| Error::Listen { key, expected: "a free address", at: at.to_string(), source }
}

/// A socket that holds its address; nobody can connect before [`listen`]. `shared`: a further process of this proxy
/// may hold it too, and the system deals out new connections among those that listen.
fn bind(key: &'static str, at: SocketAddr, shared: bool) -> Result<Socket, Error> {
    let fail = cannot_listen(key, at);
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None).map_err(&fail)?;
    socket.set_nonblocking(true).map_err(&fail)?;
    socket.set_reuse_address(true).map_err(&fail)?;
    socket.set_reuse_port(shared).map_err(&fail)?;
    socket.bind(&at.into()).map_err(&fail)?;
    Ok(socket)
}

fn listen(key: &'static str, at: SocketAddr, socket: Socket) -> Result<TcpListener, Error> {
    let fail = cannot_listen(key, at);
    socket.listen(BACKLOG).map_err(&fail)?;
    TcpListener::from_std(socket.into()).map_err(&fail)
}
