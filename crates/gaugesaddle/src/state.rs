//! The state of a running proxy, on a Unix socket of its own: the server in the proxy and the caller in
//! `gaugesaddle state`.
//!
//! A caller writes one line, `state`, and reads one JSON document ([`Snapshot`]) to the end of the connection.
//! Any other line is answered with `{"error": ...}`. The socket's mode is 0600: who may open it is the owner.

use crate::error::Error;
use crate::operator::State;
use crate::registry::{
    LentView, PeersView, RegionView, Registry, SharesView, Snapshot, SoftView, ZoneRow, ZonesView,
};
use crate::{clock::Clock, table};
use std::io::{self, Read, Write};
use std::os::unix::fs::{FileTypeExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{watch, Semaphore};

/// The longest line that a caller may send.
const LINE_BYTES: usize = 64;
/// A caller that does not ask, or does not read, loses its place after this time.
const PATIENCE: Duration = Duration::from_secs(5);
/// After a failed accept (out of descriptors, say) the next is tried this much later.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);
/// A document is read up to this size: some 10,000 backends fit many times over.
const DOCUMENT_BYTES: u64 = 64 << 20;

/// A bound socket; its file goes with it, unless another process has put its own there.
pub(crate) struct Bound {
    listener: UnixListener,
    path: PathBuf,
    inode: Option<u64>,
}

fn inode(path: &Path) -> Option<u64> {
    std::fs::symlink_metadata(path).ok().map(|m| m.ino())
}

impl Bound {
    fn new(listener: UnixListener, path: &Path) -> Bound {
        Bound { listener, path: path.into(), inode: inode(path) }
    }
}

impl Drop for Bound {
    fn drop(&mut self) {
        if inode(&self.path) == self.inode {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Binds the socket. One that a dead process has left behind is replaced; one that answers is not.
pub(crate) fn bind(path: &Path) -> Result<Bound, Error> {
    let fail = |source| Error::Listen {
        key: "state.socket",
        expected: "a path where a socket can be made",
        at: path.display().to_string(),
        source,
    };
    if let Ok(found) = std::fs::symlink_metadata(path) {
        if !found.file_type().is_socket() {
            return Err(fail(io::Error::new(
                io::ErrorKind::AlreadyExists,
                "there is a file that is no socket",
            )));
        }
        if std::os::unix::net::UnixStream::connect(path).is_ok() {
            return Err(fail(io::Error::new(io::ErrorKind::AddrInUse, "another process answers there")));
        }
    }
    Ok(Bound::new(bind_over(path).map_err(fail)?, path))
}

/// Takes the place over from the process that this one replaces.
pub(crate) fn replace(path: &Path) -> Result<Bound, Error> {
    let (key, expected, at) =
        ("state.socket", "a path where a socket can be made", path.display().to_string());
    let listener = bind_over(path).map_err(|source| Error::Listen { key, expected, at, source })?;
    Ok(Bound::new(listener, path))
}

/// Binds a socket that only its owner may open, in the place of whatever socket is there.
pub(crate) fn bind_over(path: &Path) -> io::Result<UnixListener> {
    // Made under another name and moved when its mode is right: at no moment can others open it.
    let mut draft = path.as_os_str().to_owned();
    draft.push(format!(".{}", std::process::id()));
    let draft = PathBuf::from(draft);
    let _ = std::fs::remove_file(&draft);
    let listener = UnixListener::bind(&draft)?;
    let ready = std::fs::set_permissions(&draft, std::fs::Permissions::from_mode(0o600))
        .and_then(|()| std::fs::rename(&draft, path));
    if let Err(source) = ready {
        let _ = std::fs::remove_file(&draft);
        return Err(source);
    }
    Ok(listener)
}

/// Serves the state for ever, on the socket that was told last.
pub(crate) async fn serve(
    registry: Rc<Registry>, clock: Clock, mut settings: watch::Receiver<State>, mut bound: Option<Bound>,
) {
    loop {
        let State { socket, connections } = settings.borrow_and_update().clone();
        let held = bound.take().filter(|b| Some(&b.path) == socket.as_ref());
        bound = match (held, socket) {
            (Some(held), _) => Some(held),
            (None, None) => None,
            (None, Some(path)) => bind(&path).inspect_err(|e| tracing::warn!("{e}")).ok(),
        };
        let places = Arc::new(Semaphore::new(connections));
        tokio::select! {
            () = accept(&registry, clock, bound.as_ref(), places) => {}
            told = settings.changed() => if told.is_err() {
                return; // the program ends
            },
        }
    }
}

async fn accept(registry: &Rc<Registry>, clock: Clock, bound: Option<&Bound>, places: Arc<Semaphore>) {
    let Some(bound) = bound else { return std::future::pending().await };
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match bound.listener.accept().await {
            Ok((stream, _)) => {
                let registry = registry.clone();
                tokio::task::spawn_local(async move {
                    let _ = tokio::time::timeout(PATIENCE, answer(stream, &registry, clock)).await;
                    drop(place);
                });
            }
            Err(e) => {
                tracing::warn!("state.socket: accept: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(mut stream: UnixStream, registry: &Registry, clock: Clock) -> io::Result<()> {
    let mut line = Vec::new();
    let mut buffer = [0; LINE_BYTES];
    while !line.contains(&b'\n') && line.len() < LINE_BYTES {
        match stream.read(&mut buffer).await? {
            0 => return Ok(()),
            n => line.extend_from_slice(&buffer[..n]),
        }
    }
    let document = if line.split(|b| *b == b'\n').next() == Some(b"state") {
        serde_json::to_vec(&registry.snapshot(clock.now()))?
    } else {
        b"{\"error\":\"expected one line: state\"}".to_vec()
    };
    stream.write_all(&document).await?;
    stream.shutdown().await
}

/// Asks a running proxy for its state.
pub fn ask(socket: &Path) -> Result<Snapshot, Error> {
    let fail = |why: String| Error::State { socket: socket.into(), why };
    let told = |e: io::Error| fail(format!("expected a proxy that answers here: {e}"));
    let mut stream = std::os::unix::net::UnixStream::connect(socket).map_err(told)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(told)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(told)?;
    stream.write_all(b"state\n").map_err(told)?;
    let mut document = Vec::new();
    stream.take(DOCUMENT_BYTES).read_to_end(&mut document).map_err(told)?;
    serde_json::from_slice(&document).map_err(|e| fail(format!("expected the state of a proxy: {e}")))
}

/// How a proxy stands with other regions, for people to read.
pub fn render_regions(view: &RegionView, now_us: u64) -> String {
    let since = |at: u64| format!("{:.1} s", now_us.saturating_sub(at) as f64 / 1e6);
    let for_how_long =
        if view.since_us == 0 { String::new() } else { format!(" for {}", since(view.since_us)) };
    let mut text = format!(
        "region {}: {}{for_how_long}, switch {}; backends cover {:.2} of what comes\n\
         keys changed {} times, {} sets could not be used; the certificate ends in {} days\n\
         connections from other regions {}, strangers {}, requests barred {}\n\n",
        view.name,
        view.state,
        view.switch,
        view.covered,
        view.keys_taken,
        view.keys_refused,
        view.certificate_end_us.saturating_sub(now_us) / 86_400_000_000,
        view.connections,
        view.strangers,
        view.barred,
    );
    let of = |pair: (u32, u32)| format!("{} of {}", pair.0, pair.1);
    let rows = view.others.iter().map(|o| {
        let paused = o.paused_until_us.filter(|until| *until > now_us);
        let mut row = vec![o.name.clone(), of(o.in_flight), of(o.per_s)];
        row.extend([o.sent, o.ran, o.not_run, o.may_have_run].map(|n| n.to_string()));
        row.extend([o.barred, o.too_late, o.over_budget, o.backed_off].map(|n| n.to_string()));
        row.push(format!("{:.1}", o.trip_us as f64 / 1e3));
        row.push(paused.map_or("-".into(), |until| format!("{:.1} s", (until - now_us) as f64 / 1e6)));
        row.extend([of(o.taken_in_flight), o.taken.to_string(), o.refused.to_string()]);
        row
    });
    let head = [
        "other",
        "out",
        "this second",
        "sent",
        "ran",
        "not run",
        "may have",
        "barred",
        "too late",
        "budget",
        "backoff",
        "way ms",
        "paused",
        "in service",
        "taken",
        "refused",
    ];
    text += &table::render(&head, rows);
    text
}

/// What this proxy sees of its tier, for people to read.
pub fn render_peers(view: &PeersView, now_us: u64) -> String {
    let seconds = |us: u64| format!("{:.1} s", us as f64 / 1e6);
    let meaning = match view.shape.as_str() {
        "most" => "more than half of the told tier lives",
        "small" => "few were ever met, nobody is missing",
        _ => "half or more of those that were met are lost: this side may be the smaller one",
    };
    let t = &view.totals;
    let mut text = format!(
        "peers: {} of {} live ({} suspect), {} dead, {} left, {} never met; {}: {meaning}\n\
         unchanged for {}, last answered {} ago, awake for {}, own waits stretched {} times\n\
         records of {} held, {} of them older than {}, the oldest {}\n\
         the living together:{} a second; {:.0} open, {:.1}/s given up\n\
         sent {} ({} bytes, {} not taken), came {}: garbled {}, foreign {}, forged {}, replayed {}, unproven {}, over {}\n\
         asked {}, no answer {}, objected {}, slept {} times\n\n",
        view.living,
        view.told,
        view.suspect,
        view.dead,
        view.left,
        view.unseen,
        view.shape,
        seconds(view.unchanged_us),
        seconds(view.answered_us),
        seconds(view.awake_us),
        view.health,
        t.told,
        t.older,
        seconds(t.older_than_us),
        seconds(t.oldest_us),
        t.arrivals_per_s.iter().map(|(class, rate)| format!(" {class} {rate:.1}")).collect::<String>(),
        t.held,
        t.given_up_per_s,
        view.sent,
        view.sent_bytes,
        view.unsent,
        view.came,
        view.garbled,
        view.foreign,
        view.forged,
        view.replayed,
        view.unproven,
        view.over,
        view.asked,
        view.silent,
        view.refuted,
        view.stalls,
    );
    let or = |text: &str| if text.is_empty() { "-".to_string() } else { text.to_string() };
    let rows = view.peers.iter().map(|p| {
        let mark = match (p.own, p.contested) {
            (_, true) => "claimed twice",
            (true, false) => "this one",
            _ => "",
        };
        vec![
            p.place.to_string(),
            p.address.clone(),
            or(&p.name),
            or(&p.zone),
            p.state.clone(),
            seconds(now_us.saturating_sub(p.since_us)),
            p.boot.clone().unwrap_or("-".into()),
            p.incarnation.to_string(),
            p.heard_us.map_or("-".into(), seconds),
            p.record_age_us.map_or("-".into(), seconds),
            mark.into(),
        ]
    });
    let head =
        ["place", "address", "name", "zone", "state", "for", "boot", "incarnation", "heard", "record", ""];
    text += &table::render(&head, rows);
    text
}

/// This proxy's part, for people to read.
pub fn render_shares(view: &SharesView) -> String {
    let mut text = format!(
        "shares: {}; {} of {} live, this is the {}. of them\n\
         part {:.4} of the whole, an even one {:.4}; {:.1} of {:.1} requests a second come here, {} have not told theirs\n\
         {} of {} backends are used\n",
        view.state,
        view.living,
        view.told,
        view.position + 1,
        view.part,
        view.even,
        view.need,
        view.needs,
        view.unknown,
        view.uses,
        view.listed,
    );
    let head = ["of", "whole", "own now", "in use", "goes by"];
    let row = |s: &SoftView| {
        let numbers = [s.whole, s.own, s.used].map(|n| format!("{n:.1}"));
        [s.name.clone()].into_iter().chain(numbers).chain([s.by.clone()]).collect::<Vec<_>>()
    };
    text += &table::render(&head, view.soft.iter().map(row));
    if view.lent.is_empty() {
        return text;
    }
    let head = ["taken from", "whole/s", "even", "own now", "needs", "lent", "borrowed", "lease left"];
    let row = |l: &LentView| {
        let left = l.lease_left_us.map_or("-".into(), |us| format!("{:.1} s", us as f64 / 1e6));
        let numbers = [l.whole, l.even, l.usable, l.need, l.given, l.taken].map(|n| n.to_string());
        [l.from.clone()].into_iter().chain(numbers).chain([left]).collect::<Vec<_>>()
    };
    text += &table::render(&head, view.lent.iter().map(row));
    text
}

/// What the tier holds of its zones, for people to read.
pub fn render_zones(view: &ZonesView) -> String {
    let by = view.by.map_or("nobody yet".into(), |by| format!("place {by}"));
    let mut text = format!(
        "zones: decision {}.{} by {by}, held for {:.1} s{}\n",
        view.epoch,
        view.round,
        view.held_us as f64 / 1e6,
        if view.decides { "; this proxy decides" } else { "" },
    );
    view.cut_off
        .iter()
        .for_each(|zones| text += &format!("not ready: cut off from {zones}, which most see\n"));
    view.blind.iter().for_each(|(place, zone)| text += &format!("place {place} is blind to {zone}\n"));
    let head = ["zone", "find it lost", "needs/s", "can/s", "trust", "stays near", "takes"];
    let row = |z: &ZoneRow| {
        let near: Vec<String> = z.near.iter().map(|n| format!("{n:.2}")).collect();
        vec![
            if z.lost { format!("{} (lost)", z.name) } else { z.name.clone() },
            format!("{} of {}", z.against, z.voices),
            format!("{:.1}", z.needs),
            z.can.map_or("-".into(), |can| format!("{can:.1}")),
            format!("{:.2}", z.trust),
            near.join(" "),
            format!("{:.2}", z.to),
        ]
    };
    text += &table::render(&head, view.zones.iter().map(row));
    text
}

/// The state for people to read.
pub fn render(state: &Snapshot) -> String {
    let seconds = |us: u64| format!("{:.1} s", us as f64 / 1e6);
    let ms = |us: Option<u64>| us.map_or("-".into(), |us| format!("{:.1}", us as f64 / 1e3));
    let age = state.list.age_us.map_or("never told".into(), |age| format!("told {} ago", seconds(age)));
    let index = state.list.index.map_or("-".into(), |i| i.to_string());
    let mut text = format!(
        "{} (gaugesaddle {}), up {}{}{}\nlist version {index}, {age}; {} backends\n\
         open requests {}; connections {} of {}; sockets to backends {} of {}; bodies {} of {} bytes\n\n",
        if state.name.is_empty() { "proxy" } else { &state.name },
        state.program,
        seconds(state.time_us.saturating_sub(state.start_us)),
        if state.serving { ", serving" } else { ", NOT SERVING" },
        if state.stopping {
            ", stopping"
        } else if state.draining {
            ", draining"
        } else {
            ""
        },
        state.backends.len(),
        state.open,
        state.connections.now,
        state.connections.most,
        state.upstream_sockets.now,
        state.upstream_sockets.most,
        state.body_bytes.now,
        state.body_bytes.most,
    );
    if let Some(storm) = &state.storm {
        let rate = |per_s: Option<f64>| per_s.map_or("-".into(), |r| format!("{r:.0}/s"));
        let since = seconds(state.time_us.saturating_sub(storm.since_us));
        text += &format!(
            "{} for {since}, {} storms so far; {:.0}/s asked, usual {}, {:.0}% again, let in {}\n\n",
            storm.state,
            storm.storms,
            storm.per_s,
            rate(storm.usual_per_s),
            storm.repeats * 100.0,
            rate(storm.let_in_per_s)
        );
    }
    if let Some(view) = &state.region {
        text += &render_regions(view, state.time_us);
        text.push('\n');
    }
    if let Some(p) = &state.peers {
        text += &format!("peers: {} of {} live, {}; `state peers` tells more\n\n", p.living, p.told, p.shape);
    }
    if let Some(view) = &state.zones {
        text += &render_zones(view);
    }
    if let Some(view) = &state.shares {
        text += &render_shares(view);
        text.push('\n');
    }
    let head = [
        "class",
        "taken",
        "in aim",
        "late",
        "refused",
        "crowded",
        "failed",
        "unanswered",
        "restart",
        "elsewhere",
        "left",
    ];
    let rows = state.classes.iter().map(|c| {
        let numbers = [
            c.taken,
            c.in_aim,
            c.late,
            c.refused.module,
            c.refused.open_cap,
            c.failed.module,
            c.failed.unanswered,
            c.failed.restart,
            c.refused.elsewhere + c.failed.elsewhere,
            c.left,
        ];
        std::iter::once(c.name.clone()).chain(numbers.iter().map(u64::to_string)).collect()
    });
    text += &table::render(&head, rows);
    text.push('\n');
    let outcomes = ["ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "never_sent"];
    let head = ["backend", "address", "zone", "kind", "state", "out", "sent"];
    let head: Vec<&str> = head.into_iter().chain(outcomes).chain(["p50 ms", "p99 ms"]).collect();
    let rows = state.backends.iter().map(|b| {
        let mut row =
            vec![b.name.clone(), b.address.clone(), b.zone.clone(), b.kind.clone(), b.state.clone()];
        row.extend([b.in_flight.to_string(), b.attempts.to_string()]);
        let count =
            |name: &&str| b.outcomes.iter().find(|o| o.0 == **name).map_or("-".into(), |o| o.1.to_string());
        row.extend(outcomes.iter().map(count));
        row.extend([ms(b.latency_p50_us), ms(b.latency_p99_us)]);
        row
    });
    text += &table::render(&head, rows);
    let limited: Vec<_> = state.backends.iter().filter_map(|b| b.limit.as_ref().map(|l| (b, l))).collect();
    if !limited.is_empty() {
        let rows = limited.iter().map(|(b, l)| {
            let (limit, why) = (format!("{:.1}", l.limit), l.why.clone());
            let (room, held) = (l.room.to_string(), l.held.to_string());
            vec![b.name.clone(), limit, room, held, ms(l.unloaded_us), ms(l.recent_us), why]
        });
        text.push('\n');
        text +=
            &table::render(&["backend", "limit", "room", "held", "unloaded ms", "recent ms", "why"], rows);
    }
    let counted: Vec<&(String, u64)> = state.reasons.iter().filter(|r| r.1 > 0).collect();
    if !counted.is_empty() {
        text.push('\n');
        text +=
            &table::render(&["reason", "count"], counted.iter().map(|r| vec![r.0.clone(), r.1.to_string()]));
    }
    text
}
