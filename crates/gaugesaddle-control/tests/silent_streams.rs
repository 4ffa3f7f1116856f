//! Guards, with real processes, against a stream of a sound backend that is cut because it pauses: it was given up before
//! another backend could continue it.

use gaugesaddle_testbed::fleet::{document, Chunked, Fleet};
use gaugesaddle_testbed::scripted::{chunk, events, until, Backend, Hold, Message, Reply};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::thread::JoinHandle;

/// Index of the control process in the fleet.
const CONTROL: usize = 0;
/// Index of the proxy in the fleet.
const EDGE: usize = 1;
/// Number of events of a whole stream.
const EVENTS: u32 = 6;
/// Number of events before the pause.
const EVENTS_BEFORE_PAUSE: u32 = 3;

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Type: text/event-stream\r\n\
                           Response-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";

fn is_stream(message: &Message) -> bool {
    message.start.contains("/stream/")
}

/// The beginning of a stream, up to its pause.
fn begun() -> String {
    format!("{STREAM_HEAD}{}", chunk(&events(0, EVENTS_BEFORE_PAUSE)))
}

/// The end of a stream after its pause.
fn rest() -> String {
    format!("{}{LAST_CHUNK}", chunk(&events(EVENTS_BEFORE_PAUSE, EVENTS)))
}

fn answer() -> Reply {
    Reply::Respond("HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 2\r\n\r\nok".to_owned())
}

/// A fleet of two backends, and its client. The backend that gets the stream first sends `begun`, pauses until it is released,
/// and then sends the rest; the other one gives `reply`.
struct Scene {
    backends: [Backend; 2],
    fleet: Fleet,
    release: Sender<()>,
    client: JoinHandle<io::Result<String>>,
}

impl Scene {
    fn start(reply: impl Fn() -> Reply + Clone + Send + Sync + 'static) -> Scene {
        let (hold, release) = Hold::new();
        let (hold, is_first) = (Arc::new(hold), Arc::new(AtomicBool::new(true)));
        let start = || {
            let (hold, is_first, reply) = (hold.clone(), is_first.clone(), reply.clone());
            Backend::start(move |message| {
                if !is_stream(message) {
                    answer()
                } else if is_first.swap(false, Ordering::SeqCst) {
                    Reply::RespondAfterHold(begun(), hold.clone(), rest())
                } else {
                    reply()
                }
            })
        };
        let backends = [start(), start()];
        let fleet = Fleet::start(1, 1).expect("fleet starts");
        until("the configuration is acknowledged", || {
            fleet.put(CONTROL, 0, &document(1).to_string()).0 == 200
        });
        for (id, backend) in ["i-1", "i-2"].iter().zip(&backends) {
            register(&fleet, id, backend.address);
        }
        until("the proxy is ready", || fleet.is_ready(EDGE));
        fleet.await_backends(EDGE, &[&backends[0], &backends[1]]);
        let front = fleet.front(EDGE);
        let client = std::thread::spawn(move || {
            let request =
                "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\nApi-Key: k-free\r\n\
                           Deadline-Ms: 7500\r\nContent-Length: 4\r\n\r\nbody";
            Chunked::open(front, request)?.rest()
        });
        let scene = Scene { backends, fleet, release, client };
        // The proxy looks for another backend once the first one has been silent for too long.
        until("the rest is requested from the other backend", || scene.streams_requested() == 2);
        scene
    }

    fn streams_requested(&self) -> usize {
        self.backends.iter().flat_map(Backend::requests).filter(is_stream).count()
    }

    /// The body that the client receives, up to its proper end.
    fn body(self) -> String {
        let body = self.client.join().expect("the client does not panic");
        drop(self.fleet);
        body.expect("the stream is complete")
    }
}

fn register(fleet: &Fleet, id: &str, address: SocketAddr) {
    until("the backend is registered", || fleet.heartbeat(CONTROL, id, "s", address, "ready") == 200);
}

/// A backend that has only paused is relayed further if the other one refuses the request.
#[test]
fn a_paused_stream_continues_after_another_backend_has_refused_it() {
    let refusal =
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: q1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    let scene = Scene::start(move || Reply::Respond(refusal.to_owned()));
    scene.release.send(()).expect("the backend waits");
    assert_eq!(scene.body(), events(0, EVENTS));
}

/// ... and if the other one breaks off before it has an event.
#[test]
fn a_paused_stream_continues_after_another_backend_has_broken_off() {
    for broken in ["", STREAM_HEAD] {
        let scene = Scene::start(move || Reply::RespondAndClose(broken.to_owned()));
        scene.release.send(()).expect("the backend waits");
        assert_eq!(scene.body(), events(0, EVENTS), "{broken:?}");
    }
}

/// The first backend continues before the second one has an event: the second one is cancelled, and no event comes twice.
#[test]
fn a_paused_stream_that_continues_first_cancels_the_takeover() {
    for begun in ["", STREAM_HEAD] {
        let (never, _release) = Hold::new();
        let never = Arc::new(never);
        let scene =
            Scene::start(move || Reply::RespondAfterHold(begun.to_owned(), never.clone(), String::new()));
        scene.release.send(()).expect("the backend waits");
        assert_eq!(scene.body(), events(0, EVENTS), "{begun:?}");
    }
}

/// A backend that stays silent is replaced by the one that has the next event.
#[test]
fn a_stream_whose_backend_stays_silent_is_taken_over() {
    let whole = format!("{STREAM_HEAD}{}", rest());
    let scene = Scene::start(move || Reply::Respond(whole.clone()));
    let streams = scene.backends.iter().flat_map(Backend::requests).filter(is_stream);
    let last_event_ids: Vec<Option<String>> =
        streams.map(|message| message.header("last-event-id").map(str::to_owned)).collect();
    assert!(last_event_ids.contains(&Some("2".to_owned())), "{last_event_ids:?}");
    let release = scene.release.clone();
    assert_eq!(scene.body(), events(0, EVENTS));
    drop(release);
}
