//! The client side: connections, and a request from its first byte to its answer.

use crate::body::{CallBody, Download, Passing, HELD_BYTES, MOST_BYTES};
use crate::clock::{duration, Clock};
use crate::exchange::{Answer, Arrived, Call, Input, Refusal, BODY_BYTES};
use crate::form::{self, Form, Rules, Wrong};
use crate::registry::Registry;
use crate::tally::Reason;
use crate::tap::{Socket, Tap};
use bytes::{Bytes, BytesMut};
use gaugesaddle_balancer::{Micros, RequestId, Time};
use gaugesaddle_federation::Via;
use gaugesaddle_maintenance::{IDLE_CLOSE_DELAY, LISTEN_AFTER_STOP};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::{Instant, MissedTickBehavior};

/// From its connect a client has this long for the head of its first request: those who never ask, or never
/// end it, hold a place that others need.
const FIRST_HEAD: Micros = Micros(2_200_000);
/// A body may stand still for this long, however fast it came before.
const BODY: Micros = Micros(2_000_000);
/// The same for the first request of a connection, from the connect: those who never end it are owed an answer
/// within 3 s.
const FIRST_BODY: Micros = Micros(2_700_000);
/// A byte of a body that has come gives it this much more time, us: 32 kB a second, half of what slow clients send.
const BYTE_US: f64 = 1e6 / 32e3;
/// A body that is passed on while it comes has this long at most, where its length tells no less.
const LONGEST_UPLOAD: Micros = Micros(30_000_000);
/// A connection that stands between requests is closed after this time: many are kept and never used again.
const IDLE: Micros = Micros(5_000_000);
/// Connections between requests are kept up to this part of the descriptors. Usual clients hold a third of them
/// at most for requests: what waits here is taken from the requests to come, so half of that third stays free
/// for them. Clients that ask again have few connections waiting, for they use the same ones over and over.
pub const KEPT_PART: usize = 6;
/// One that was asked on once and has waited so long is likely kept for good: it is the first to give way.
const LIKELY_ONCE: Micros = Micros(250_000);
/// Connections are looked through this often.
const LOOK: Duration = Duration::from_millis(100);
/// With every place taken a connection that has yet to ask must let others in after this time: what its client
/// sent right behind the connect has come by then.
const SETTLED: Micros = Micros(20_000);
/// One that was told to close and has not done so is cut after this time: its client does not read.
const CUT: Micros = Micros(2_000_000);
/// A head is read up to this size, that of a usual one many times over.
const HEAD_BYTES: usize = 16 << 10;
/// After the last answer on a connection, what else comes is thrown away up to this size, for this long in all and until
/// nothing has come for the last of these: closing over it would reset the connection and could take the answer with it,
/// of which a slow reader has yet to get the end.
const LINGER_BYTES: usize = 4 * BODY_BYTES;
const LINGER: Duration = Duration::from_secs(2);
const QUIET: Duration = Duration::from_millis(500);
/// After a failed accept (out of descriptors, say) the next is tried this much later.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Half a request on a connection between requests is waited for so much longer when the process ends: one that comes later
/// may find it killed before its answer, while its client asks another proxy if the connection is closed.
const HALF_HEAD: Micros = Micros(200_000);
/// Ticks between the answer to a client and the end of its patience, for the way there and back.
const MARGIN_TICKS: u64 = 2;

/// What the handlers of all connections share.
pub struct Server {
    pub clock: Clock,
    pub rules: Rules,
    pub tick: Micros,
    /// Bytes that the bodies of open requests may hold together.
    pub body_room: Cell<usize>,
    pub inputs: mpsc::UnboundedSender<Input>,
    pub registry: Rc<Registry>,
    pub next: Cell<u64>,
    pub links: RefCell<BTreeMap<u64, Rc<Link>>>,
    /// The clients' own ids of the requests that are open.
    pub ids: RefCell<HashSet<HeaderValue>>,
    pub freed: Notify,
}

/// What a client connection is doing.
///
/// ```text
///            a head              a whole request
///   Waiting --------> Reading ---------------------> Taken
///    ^ |  ^              |                            | |
///    | |  +- wrong: the answer says that it closes    | | its client closes, whatever it sent before:
///    | |                 |                            | | the request is dropped with its attempts
///    | |                 | told to close: cut         | v
///    | |                 v                            | gone
///    | +---> closed <----+                            |
///    |  told to close and nothing has come            |
///    +------------------------------------------------+----> Closing ----> closed
///      the answer is out                 and was the last      its client has closed, or its time or its place is over
/// ```
///
/// Told to close with something on the way (a head begun, or unread with the system), a connection that was asked on
/// before waits for that request and closes with its answer.
#[derive(Clone, Copy)]
enum Phase {
    /// Waiting for the head of a request since then.
    Waiting(Time),
    /// Waiting for its body since then.
    Reading(Time),
    /// It has brought a whole request, which is owed an answer.
    Taken,
    /// Its last answer is out since then: it lingers until its client has read that.
    Closing(Time),
}

/// Who gives way first when places are short: the less a close can hurt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Yield {
    /// Asked on once, a while ago: its client is served and will hardly come again.
    AskedOnce,
    /// Nothing has come on it: its client may yet ask, and would lose that request.
    NeverAsked,
    /// Asked on again and again: a close costs its client a connect.
    AskedOften,
    /// Half a request is there: a close cuts it off.
    Reading,
}

/// A client connection.
pub struct Link {
    opened: Time,
    /// The hash of its client's address.
    source: u64,
    phase: Cell<Phase>,
    /// Requests that it has brought and had answered.
    asked: Cell<u32>,
    /// It was told to close, then and why.
    told: Cell<Option<(Time, Reason)>>,
    close: Notify,
}

impl Link {
    fn new(now: Time, source: u64) -> Link {
        let phase = Cell::new(Phase::Waiting(now));
        Link {
            opened: now,
            source,
            phase,
            asked: Cell::default(),
            told: Cell::default(),
            close: Notify::new(),
        }
    }

    /// Tells it to close unless it was told a moment ago.
    fn tell_to_close(&self, now: Time, why: Reason) {
        let told = self.told.get();
        if told.is_none_or(|(at, _)| now - at >= CUT) {
            self.told.set(Some((now, told.map_or(why, |t| t.1))));
            self.close.notify_one();
        }
    }

    /// Why it was told to close.
    fn why(&self) -> Reason {
        self.told.get().map_or(Reason::ClosedByClient, |told| told.1)
    }

    fn is_used(&self) -> bool {
        self.asked.get() > 0
    }

    /// Whether it stands between two requests and will go on doing so.
    fn is_kept(&self) -> bool {
        self.is_used() && self.told.get().is_none() && matches!(self.phase.get(), Phase::Waiting(_))
    }

    /// Its place in the order in which connections give way to others; `None`: it stays.
    fn yields(&self, now: Time) -> Option<(Yield, Time)> {
        let (asked, told) = (self.asked.get(), self.told.get().is_some());
        match self.phase.get() {
            _ if told => None,
            Phase::Waiting(since) if asked == 1 && now - since >= LIKELY_ONCE => {
                Some((Yield::AskedOnce, since))
            }
            Phase::Waiting(since) if asked > 0 => Some((Yield::AskedOften, since)),
            Phase::Waiting(since) if now - since >= SETTLED => Some((Yield::NeverAsked, since)),
            Phase::Reading(since) if now - since >= SETTLED => Some((Yield::Reading, since)),
            Phase::Closing(since) => Some((Yield::AskedOnce, since)),
            _ => None,
        }
    }

    /// Why it has had its time, if it has.
    fn overdue(&self, now: Time) -> Option<Reason> {
        let Phase::Waiting(since) = self.phase.get() else { return None };
        let (time, why) =
            if self.is_used() { (IDLE, Reason::ClosedIdle) } else { (FIRST_HEAD, Reason::ClosedUnasked) };
        (now - since >= time).then_some(why)
    }

    /// When more of a body must have come, of which so much has, and whose head came then.
    fn body_due(&self, came: Time, bytes: u64) -> Time {
        let start = if self.is_used() { came + BODY } else { (came + BODY).min(self.opened + FIRST_BODY) };
        start + Micros((bytes as f64 * BYTE_US) as u64)
    }
}

/// A request of which the driver knows; dropped before it is answered, its client has gone.
struct Ticket<'a> {
    request: RequestId,
    id: HeaderValue,
    call: Rc<Call>,
    server: &'a Server,
    answered: bool,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.server.ids.borrow_mut().remove(&self.id);
        if !self.answered {
            // From this moment on, and not from when the driver hears of it.
            self.call.wanted.set(false);
            let _ = self.server.inputs.send(Input::Left(self.request));
        }
    }
}

/// Bytes taken from the room that bodies share.
struct Room<'a> {
    bytes: usize,
    server: &'a Server,
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        let free = &self.server.body_room;
        free.set(free.get() + self.bytes);
        let held = &self.server.registry.body_bytes;
        held.set(held.get().saturating_sub(self.bytes));
    }
}

impl Server {
    /// Serves until `stop`, which tells whether another process succeeds this one; returns when all that was taken
    /// is answered.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = bool>) {
        tokio::pin!(stop);
        let end = tokio::time::sleep(Duration::MAX);
        tokio::pin!(end);
        let mut look = tokio::time::interval(LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let full = self.links.borrow().len() >= self.registry.bounds().connections;
            if full {
                self.make_room();
            }
            tokio::select! {
                biased;
                has_successor = &mut stop, if !self.registry.lifecycle().is_stopping() => {
                    let now = self.clock.now();
                    self.registry.change(|l| l.stop(now, has_successor));
                    let more = if has_successor { Duration::ZERO } else { duration(LISTEN_AFTER_STOP) };
                    end.as_mut().reset(Instant::now() + more);
                }
                () = &mut end, if self.registry.lifecycle().is_stopping() => break,
                _ = look.tick() => self.close_overdue(),
                () = self.freed.notified() => {}
                accepted = listener.accept(), if !full => match accepted {
                    Ok((stream, _)) => self.clone().serve(stream),
                    Err(e) => {
                        tracing::debug!("accept: {e}");
                        self.registry.tally.count(Reason::AcceptFailed);
                        self.make_room();
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
            }
        }
        // What the system has accepted meanwhile counts as taken.
        for stream in queued(listener) {
            self.clone().serve(stream);
        }
        let last = Instant::now() + duration(IDLE_CLOSE_DELAY) + duration(self.rules.longest);
        while !self.links.borrow().is_empty() && Instant::now() < last {
            self.let_go(self.clock.now());
            tokio::select! {
                _ = look.tick() => self.close_overdue(),
                () = self.freed.notified() => {}
            }
        }
    }

    /// Closes connections between requests where the proxy does not want their clients any more.
    fn let_go(&self, now: Time) {
        let lifecycle = self.registry.lifecycle();
        if !lifecycle.closes_idle_connections(now) {
            return;
        }
        let why = if lifecycle.is_stopping() { Reason::ClosedStopping } else { Reason::ClosedDraining };
        let between = |l: &&Rc<Link>| l.is_used() && matches!(l.phase.get(), Phase::Waiting(_));
        for link in self.links.borrow().values().filter(between) {
            match link.told.get() {
                Some((at, _)) if lifecycle.is_stopping() && now - at >= HALF_HEAD => link.close.notify_one(),
                _ => link.tell_to_close(now, why),
            }
        }
    }

    fn close_overdue(&self) {
        let now = self.clock.now();
        self.let_go(now);
        for link in self.links.borrow().values() {
            if let Some(why) = link.overdue(now) {
                link.tell_to_close(now, why);
            }
        }
        if let Some(text) = self.registry.tally.due(now) {
            let links = self.links.borrow();
            let (asked, taken) = links.values().fold((0, 0), |n, l| {
                let taken = matches!(l.phase.get(), Phase::Taken);
                (n.0 + usize::from(l.is_used() || taken), n.1 + usize::from(taken))
            });
            let open = links.len();
            let most = self.registry.bounds().connections;
            tracing::info!("{text}; open {open} of {most}, asked on {asked}, in service {taken}");
        }
    }

    /// With every place taken, one that is not in service is closed: new clients must get in, however many
    /// others hold connections and never ask.
    fn make_room(&self) {
        let now = self.clock.now();
        let links = self.links.borrow();
        let yielding = links.values().filter_map(|l| l.yields(now).map(|order| (order, l)));
        if let Some(((rank, _), link)) = yielding.min_by_key(|(order, _)| *order) {
            let why = match rank {
                Yield::AskedOnce | Yield::AskedOften => Reason::ClosedForRoom,
                Yield::NeverAsked => Reason::ClosedForRoomUnasked,
                Yield::Reading => Reason::ClosedForRoomReading,
            };
            link.tell_to_close(now, why);
        }
    }

    /// Closes connections between requests ahead of any need when more are kept than the clients can spare:
    /// with all of theirs waiting here they can bring no request, and nobody would come to ask for room.
    fn keep_few(&self) {
        let links = self.links.borrow();
        let most = self.registry.bounds().kept;
        if links.len() <= most {
            return;
        }
        let now = self.clock.now();
        let kept = links.values().filter(|l| l.is_kept());
        let surplus = kept.clone().count().saturating_sub(most);
        for _ in 0..surplus {
            if let Some(link) = kept.clone().min_by_key(|l| l.yields(now)) {
                link.tell_to_close(now, Reason::ClosedAhead);
            }
        }
    }

    fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        self.registry.connects.set(self.registry.connects.get() + 1);
        let source = stream.peer_addr().map_or(0, |a| hash_of(&a.ip()));
        let (number, link) = (self.number(), Rc::new(Link::new(self.clock.now(), source)));
        self.links.borrow_mut().insert(number, link.clone());
        self.registry.connections.set(self.links.borrow().len());
        tokio::task::spawn_local(async move {
            let mut gone = Gone { number, server: &self, why: Reason::ClosedByClient };
            let wrong = Cell::new(false);
            let socket = Socket::new(stream);
            let service =
                hyper::service::service_fn(|request| Box::pin(self.handle(request, &link, &wrong, &socket)));
            let mut http = http1::Builder::new();
            http.max_buf_size(HEAD_BYTES).header_read_timeout(None);
            let mut connection = http.serve_connection(TokioIo::new(Tap(socket.clone())), service);
            let mut told = false;
            let ended = loop {
                tokio::select! {
                    biased;
                    ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break ended,
                    () = poll_fn(|cx| match link.phase.get() {
                        Phase::Taken => socket.poll_gone(cx),
                        _ => Poll::Pending,
                    }) => return gone.why = Reason::ClosedLeft,
                    () = link.close.notified() => match link.phase.get() {
                        // Nothing is taken and no answer on its way.
                        Phase::Reading(_) => return gone.why = link.why(),
                        // One that was never asked on is young: what stands unread is likely its first request.
                        Phase::Waiting(_) if !told && !link.is_used() && socket.is_unread() => {}
                        Phase::Waiting(_) if told || !link.is_used() => {
                            return gone.why = link.why();
                        }
                        // A request is on its way: it is answered, and the answer says that it was the last.
                        Phase::Waiting(_) if socket.has_come() => {}
                        // Whatever is on its way is written to its end.
                        _ => std::pin::Pin::new(&mut connection).graceful_shutdown(),
                    },
                }
                told = true;
            };
            if let Err(e) = &ended {
                tracing::debug!("client connection: {e}");
            }
            gone.why = match (&ended, link.phase.get()) {
                (_, Phase::Taken) => Reason::ClosedLeft,
                _ if link.told.get().is_some() => link.why(),
                _ if wrong.get() => Reason::ClosedWrong,
                (Err(e), _) if e.is_parse() => Reason::ClosedUnreadable,
                _ if self.registry.lifecycle().is_stopping() => Reason::ClosedStopping,
                _ if !self.registry.lifecycle().accepts_clients() => Reason::ClosedDraining,
                _ => Reason::ClosedByClient,
            };
            if !socket.is_ended() && (!gone.why.makes_room() || socket.is_unread()) {
                link.told.set(None);
                link.phase.set(Phase::Closing(self.clock.now()));
                drop(connection);
                tokio::select! {
                    _ = tokio::time::timeout(LINGER, socket.linger(LINGER_BYTES, QUIET)) => {}
                    () = link.close.notified() => {}
                }
            }
        });
    }

    fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    async fn handle(
        &self, request: Request<Incoming>, link: &Rc<Link>, wrong: &Cell<bool>, socket: &Socket,
    ) -> Result<Response<Download>, Infallible> {
        link.phase.set(Phase::Reading(self.clock.now()));
        let length = request.body().size_hint().exact();
        let answer = self.answer(request, link, socket).await;
        let behind = socket.next(length);
        // What is passed on says itself when it has ended.
        if !answer.as_ref().is_ok_and(|a| a.body().is_passing()) {
            link.phase.set(Phase::Waiting(self.clock.now()));
        }
        link.asked.set(link.asked.get().saturating_add(1));
        wrong.set(answer.is_err());
        let mut answer = answer.unwrap_or_else(|Wrong(status, text, why)| {
            self.registry.tally.count(why);
            plain(status, text)
        });
        if wrong.get() && answer.status() == StatusCode::SERVICE_UNAVAILABLE {
            answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        self.keep_few();
        // What came in one piece with this request was taken with it.
        let last = !self.registry.lifecycle().accepts_clients() && !behind;
        if last || wrong.get() || link.told.get().is_some() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(answer)
    }

    async fn answer(
        &self, request: Request<Incoming>, link: &Rc<Link>, socket: &Socket,
    ) -> Result<Response<Download>, Wrong> {
        let came = self.clock.now();
        let (head, body) = request.into_parts();
        let length = body.size_hint().exact();
        form::framing(&head, length, socket)?;
        if head.uri.path() == "/-/ready" && length == Some(0) {
            return Ok(if self.registry.is_ready() {
                plain(StatusCode::OK, "ready")
            } else {
                plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            });
        }
        let form = self.rules.read(&head, length)?;
        let mut room = Room { bytes: 0, server: self };
        let body = self.read(body, link, came, &mut room).await?;
        if self.is_open(&form.id) {
            return Err(open_already());
        }
        link.phase.set(Phase::Taken);
        let answer = self.carry(form, head, body, link.source, None).await?;
        Ok(match answer {
            Answer::Served(answer) => {
                let (link, clock) = (link.clone(), self.clock);
                let done = move || link.phase.set(Phase::Waiting(clock.now()));
                answer.map(|payload| Download::new(payload, done))
            }
            Answer::Refused(refusal) => self.refusal(refusal, link),
            Answer::Failed => {
                self.registry.tally.count(Reason::Failed);
                plain(StatusCode::BAD_GATEWAY, "failed")
            }
        })
    }

    /// A request with that id is open.
    fn is_open(&self, id: &HeaderValue) -> bool {
        self.ids.borrow().contains(id)
    }

    /// Gives a whole request to the driver and waits for its one answer; dropped before that, its client has gone.
    /// `source`: whose it is where the request doesn't say; `hop`: through which regions it came.
    pub async fn carry(
        &self, form: Form, mut head: Parts, mut body: CallBody, source: u64, hop: Option<Via>,
    ) -> Result<Answer, Wrong> {
        if !self.ids.borrow_mut().insert(form.id.clone()) {
            return Err(open_already());
        }
        let whole = self.clock.now();
        let request = RequestId(self.number());
        gaugesaddle_http_connection::strip_connection_headers(&mut head.headers);
        let mut sent = Request::new(());
        *sent.method_mut() = head.method;
        *sent.uri_mut() = head.uri.path_and_query().map(|p| p.clone().into()).unwrap_or_default();
        *sent.headers_mut() = head.headers;
        let (reply, answer) = oneshot::channel();
        // A client's patience counts from its last byte, which may be to come.
        let patience = Micros(form.time_left.0.saturating_sub(MARGIN_TICKS * self.tick.0));
        let (deadline, after_last) = match &mut body {
            CallBody::Whole(_) => (whole + patience, None),
            CallBody::Passing(passing) => {
                let mut upload = LONGEST_UPLOAD;
                if let Some(passing) = passing.get_mut() {
                    passing.ended = Some((self.inputs.clone(), request));
                    if let Some(rest) = passing.rest.size_hint().exact() {
                        upload = upload.min(Micros(BODY.0 + (rest as f64 * BYTE_US) as u64));
                    }
                }
                (whole + upload + patience, Some(patience))
            }
        };
        let call = Rc::new(Call { head: sent, body, wanted: Cell::new(true) });
        let mut ticket = Ticket { request, id: form.id, call: call.clone(), server: self, answered: false };
        let arrived = Input::Arrived(Arrived {
            id: request,
            class: form.class,
            tenant: form.tenant,
            came: whole,
            deadline,
            after_last,
            work_hint: form.work_hint,
            repeat: form.repeat,
            key: form.key,
            source: form.source.unwrap_or(source),
            hop,
            call,
            reply,
        });
        let _ = self.inputs.send(arrived);
        let answer = answer.await;
        ticket.answered = true;
        Ok(answer.unwrap_or(Answer::Failed))
    }

    /// Reads a body, whole where there is room for it.
    async fn read(
        &self, mut body: Incoming, link: &Link, came: Time, room: &mut Room<'_>,
    ) -> Result<CallBody, Wrong> {
        let (mut held, mut passed) = (VecDeque::<Bytes>::new(), 0);
        loop {
            let due = self.clock.instant(link.body_due(came, passed));
            let bytes = match tokio::time::timeout_at(due, body.frame()).await {
                Ok(None) => break,
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue, // trailers: nothing in them is for a backend
                },
                Ok(Some(Err(_))) => {
                    return Err(Wrong(StatusCode::BAD_REQUEST, "the body is broken", Reason::WrongBody));
                }
                Err(_) => {
                    let text = "the body did not come in time";
                    return Err(Wrong(StatusCode::REQUEST_TIMEOUT, text, Reason::WrongBody));
                }
            };
            passed += bytes.len() as u64;
            if passed > MOST_BYTES {
                let text = "the body is over 40 MiB";
                return Err(Wrong(StatusCode::PAYLOAD_TOO_LARGE, text, Reason::WrongFraming));
            }
            // Half of the room is kept for bodies that are never passed on.
            let large = passed > BODY_BYTES as u64;
            let fits = (!large || self.body_room.get() > self.registry.bounds().body_bytes / 2)
                && room.grow(bytes.len());
            held.push_back(bytes);
            if fits && passed <= HELD_BYTES as u64 {
                continue;
            }
            if !large {
                let text = "too many large requests at once";
                return Err(Wrong(StatusCode::SERVICE_UNAVAILABLE, text, Reason::RefusedBodies));
            }
            let passing = Passing { first: held, rest: body, passed, ended: None };
            return Ok(CallBody::Passing(RefCell::new(Some(passing))));
        }
        Ok(CallBody::Whole(match held.len() {
            1 => held.pop_front().unwrap_or_default(),
            _ => held
                .iter()
                .fold(BytesMut::with_capacity(passed as usize), |mut all, bytes| {
                    all.extend_from_slice(bytes);
                    all
                })
                .freeze(),
        }))
    }

    fn refusal(&self, refusal: Refusal, link: &Link) -> Response<Download> {
        self.registry.tally.count(if refusal.crowded {
            Reason::RefusedOpenCap
        } else {
            Reason::RefusedModule
        });
        let status =
            if refusal.by_client { StatusCode::TOO_MANY_REQUESTS } else { StatusCode::SERVICE_UNAVAILABLE };
        let mut answer = plain(status, "refused");
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(refusal.after_s));
        // In a storm places are worth more than a connect: half of them stay for those that are served.
        if self.registry.storm.get().is_damping()
            && self.links.borrow().len() > self.registry.bounds().connections / 2
        {
            link.tell_to_close(self.clock.now(), Reason::ClosedStorm);
        }
        answer
    }
}

impl Room<'_> {
    /// Room for so many bytes more, if there is; without it many large bodies together would use up the memory.
    fn grow(&mut self, bytes: usize) -> bool {
        let (free, held) = (&self.server.body_room, &self.server.registry.body_bytes);
        let Some(left) = free.get().checked_sub(bytes) else { return false };
        free.set(left);
        held.set(held.get() + bytes);
        self.bytes += bytes;
        true
    }
}

/// A number for a source or a key: the same within this process only.
fn hash_of(what: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

fn open_already() -> Wrong {
    let text = "X-Correlation-Id: that of a request that is open";
    Wrong(StatusCode::CONFLICT, text, Reason::WrongId)
}

pub fn plain(status: StatusCode, text: &'static str) -> Response<Download> {
    let mut answer = Response::new(Download::whole(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// Ends the listening; returns the connections that the system has accepted. It is asked itself, and to the end: what the
/// runtime knows of the listener is as old as its last look.
fn queued(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    accepted
        .filter_map(|(stream, _)| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
}

/// Takes a connection off the books however its task ends.
struct Gone<'a> {
    number: u64,
    server: &'a Server,
    why: Reason,
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        self.server.registry.tally.count(self.why);
        self.server.links.borrow_mut().remove(&self.number);
        self.server.registry.connections.set(self.server.links.borrow().len());
        self.server.freed.notify_one();
    }
}

#[cfg(test)]
#[path = "server/tests.rs"]
mod tests;
