//! The line protocol of the simulator: parses lines to events and writes actions as lines.

use gaugesaddle_balancer::settings::{self, stable_id, Key, Names};
use gaugesaddle_balancer::*;
use serde_json::Value;
use std::collections::HashMap;
use std::io::Write;

/// One proxy instance: its balancer and the names of its classes and tenants.
struct Instance {
    balancer: Balancer,
    names: Names,
}

/// All instances of this process, and the lists of backends that `VIEW` lines refer to.
#[derive(Default)]
pub struct Adapter {
    /// `None` for an instance whose settings were rejected with a `BROKEN` line.
    instances: HashMap<String, Option<Instance>>,
    rosters: HashMap<u64, Vec<Backend>>,
    /// The address of every backend that a list has contained, by its id.
    addresses: HashMap<BackendId, String>,
    now: Option<Time>,
    actions: Vec<Action>,
}

/// The values of one line; errors name the expected and the actual value.
struct Fields<'a> {
    name: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    fn invalid(&self, at: usize, expected: &str) -> String {
        let got = self.values.get(at).unwrap_or(&Value::Null);
        format!("{}: value {at}: expected {expected}, got {got}", self.name)
    }
    fn text(&self, at: usize, what: &str) -> Result<&'a str, String> {
        self.values.get(at).and_then(Value::as_str).ok_or_else(|| self.invalid(at, what))
    }
    fn integer(&self, at: usize, what: &str) -> Result<u64, String> {
        self.values.get(at).and_then(Value::as_u64).ok_or_else(|| self.invalid(at, what))
    }
    fn flag(&self, at: usize, what: &str) -> Result<bool, String> {
        self.values.get(at).and_then(Value::as_bool).ok_or_else(|| self.invalid(at, what))
    }
    fn request(&self, at: usize) -> Result<RequestId, String> {
        let text = self.text(at, "a request id of 16 hex digits")?;
        let is_valid = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let id = is_valid.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        id.map(RequestId).ok_or_else(|| self.invalid(at, "a request id of 16 lower-case hex digits"))
    }
    fn outcome(&self, at: usize) -> Result<Outcome, String> {
        Ok(match self.integer(at, "an outcome code from 0 to 7")? {
            0 => Outcome::Error,
            1 => Outcome::Ok,
            2 => Outcome::Full,
            3 => Outcome::TimedOut,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::NeverSent,
            _ => return Err(self.invalid(at, "an outcome code from 0 to 7")),
        })
    }
}

impl Adapter {
    /// Handles one line. Returns whether the reply is complete and must be written.
    pub fn handle_line(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<bool, String> {
        let value: Value = serde_json::from_str(line).map_err(|e| format!("expected a JSON array: {e}"))?;
        let values = value.as_array().ok_or("expected a JSON array")?;
        let name = values.first().and_then(Value::as_str).ok_or("expected a message name first")?;
        let f = Fields { name, values: &values[1..] };
        let arity = match name {
            "TICK" | "KILLED" => 1,
            "END" => 0,
            "SNAPSHOT_ROWS" | "VANISHED" | "TIMEOUT_FIRED" => 2,
            "CREATE" | "MEMO" => 3,
            "VIEW" => 4,
            "ESTABLISHED" | "STATUS_BACK" => 5,
            "JOB_IN" | "RETURNED" => 8,
            _ => return Err(format!("unknown message {name}")),
        };
        if f.values.len() != arity {
            return Err(format!("{name}: expected {arity} values, got {}", f.values.len()));
        }
        if name == "TICK" {
            self.now = Some(Time(f.integer(0, "the clock in microseconds")?));
            return Ok(false);
        }
        let now = self.now.ok_or_else(|| format!("{name}: expected TICK first"))?;
        match name {
            "END" => {
                self.now = None;
                reply.extend_from_slice(b"[\"YIELD\"]\n");
                return Ok(true);
            }
            "SNAPSHOT_ROWS" => {
                let id = f.integer(0, "a roster number from 0 to 15")?;
                if id > 15 {
                    return Err(f.invalid(0, "a roster number from 0 to 15"));
                }
                let rows = f.values[1].as_array().ok_or_else(|| f.invalid(1, "an array of entries"))?;
                let mut entries = Vec::with_capacity(rows.len());
                for row in rows {
                    let (address, entry) = parse_entry(row)?;
                    let known = self.addresses.entry(entry.id).or_insert_with(|| address.into());
                    if known != address {
                        return Err(format!("list entry {row}: its address has the same id as {known}"));
                    }
                    entries.push(entry);
                }
                self.rosters.insert(id, entries);
                return Ok(false);
            }
            "CREATE" => {
                self.create_instance(&f, reply)?;
                return Ok(false);
            }
            _ => {}
        }
        let proxy = f.text(0, "an instance")?;
        if name == "KILLED" {
            self.instances.remove(proxy).ok_or_else(|| f.invalid(0, "a known instance"))?;
            return Ok(false);
        }
        let slot = self.instances.get_mut(proxy).ok_or_else(|| f.invalid(0, "a known instance"))?;
        let Some(instance) = slot else { return Ok(false) };
        let Some(event) = parse_event(&f, &instance.names, &self.rosters)? else { return Ok(false) };
        instance.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(proxy, &self.addresses, &action, reply);
        }
        Ok(false)
    }

    fn create_instance(&mut self, f: &Fields, reply: &mut Vec<u8>) -> Result<(), String> {
        let proxy = f.text(0, "an instance")?;
        let is_valid = proxy.strip_prefix("proxy-").is_some_and(|n| n.parse::<u64>().is_ok());
        if !is_valid {
            return Err(f.invalid(0, "an instance such as proxy-3"));
        }
        let seed = f.integer(1, "a seed")?;
        let created = settings::read(&Key::root(&f.values[2])).map_err(|e| e.to_string()).and_then(
            |(config, names)| Balancer::new(config, seed).map(|b| (b, names)).map_err(|e| e.to_string()),
        );
        let instance = match created {
            Ok((balancer, names)) => Some(Instance { balancer, names }),
            Err(error) => {
                eprintln!("gaugesaddle-simulator-host: settings of {proxy}: {error}");
                write_line(reply, &serde_json::json!(["BROKEN", proxy, format!("settings: {error}")]));
                None
            }
        };
        self.instances.insert(proxy.into(), instance);
        Ok(())
    }
}

/// Parses a row of a list; returns its address and the entry.
fn parse_entry(row: &Value) -> Result<(&str, Backend), String> {
    let invalid = |what: &str| format!("list entry {row}: expected {what}");
    let row = row.as_array().filter(|r| r.len() == 7).ok_or_else(|| invalid("an array of 7 values"))?;
    let text = |at: usize, what| row[at].as_str().ok_or_else(|| invalid(what));
    let address = text(3, "an address")?;
    let is_plain = |b: u8| b.is_ascii_graphic() && b != b'"' && b != b'\\';
    if address.is_empty() || !address.bytes().all(is_plain) {
        return Err(invalid("a plain address"));
    }
    let state = match text(4, "IN, LAME or OUT")? {
        "IN" => BackendState::Ready,
        "LAME" => BackendState::Draining,
        "OUT" => BackendState::Departed,
        _ => return Err(invalid("IN, LAME or OUT")),
    };
    let booted = match &row[6] {
        Value::Null => None,
        v => Some(v.as_u64().ok_or_else(|| invalid("a start time or null"))?),
    };
    let entry = Backend {
        id: BackendId(stable_id(address)),
        zone: ZoneId(stable_id(text(0, "a zone")?)),
        cell: CellId(row[1].as_u64().ok_or_else(|| invalid("a cell number"))?),
        kind: KindId(stable_id(text(2, "a kind")?)),
        state,
        booted: booted.filter(|t| *t > 0).map(Time),
        weight: row[5].as_f64().filter(|w| *w >= 0.0).ok_or_else(|| invalid("a weight of 0 or more"))?,
    };
    Ok((address, entry))
}

fn parse_event(
    f: &Fields, names: &Names, rosters: &HashMap<u64, Vec<Backend>>,
) -> Result<Option<Event>, String> {
    Ok(Some(match f.name {
        "VIEW" => {
            let update = match f.text(3, "a list kind")? {
                "incr" => ListUpdate::Changes,
                "total" => ListUpdate::Full,
                "warm_copy" => ListUpdate::Cached,
                "lost" => ListUpdate::Lost,
                _ => return Err(f.invalid(3, "incr, total, warm_copy or lost")),
            };
            let mut backends = Vec::new();
            if update != ListUpdate::Lost {
                let id = f.integer(1, "a roster number")?;
                backends.clone_from(rosters.get(&id).ok_or_else(|| f.invalid(1, "a known roster number"))?);
            }
            Event::Members { update, backends }
        }
        "JOB_IN" => {
            let flags = f.values[6].as_u64().unwrap_or(0);
            Event::Request(Arrival {
                request: f.request(1)?,
                work_hint: f.values[2].as_u64().filter(|_| flags & 1 == 1).map(Micros),
                repeat: flags & 2 == 2,
                retried_early: false,
                from_other_region: false,
                remaining: Micros(f.integer(3, "the time left in microseconds")?),
                tenant: match &f.values[5] {
                    Value::String(name) => {
                        Some(names.tenant(name).ok_or_else(|| f.invalid(5, "a known tenant"))?)
                    }
                    _ => None,
                },
                class: names.class(f.text(7, "a class")?).ok_or_else(|| f.invalid(7, "a known class"))?,
            })
        }
        "ESTABLISHED" => Event::StreamStarted {
            request: f.request(1)?,
            attempt: AttemptNo(f.integer(2, "an attempt")? as u32),
        },
        "RETURNED" => {
            f.text(3, "a backend")?;
            Event::AttemptEnded(AttemptEnd {
                request: f.request(1)?,
                attempt: AttemptNo(f.integer(2, "an attempt")? as u32),
                outcome: f.outcome(4)?,
                latency: Micros(f.integer(5, "a time in microseconds")?),
                answered: f.flag(6, "true or false")?,
            })
        }
        "VANISHED" => Event::ClientDisconnected { request: f.request(1)? },
        "TIMEOUT_FIRED" => Event::Timer { token: TimerToken(f.integer(1, "a token")?) },
        _ => return Ok(None), // MEMO and STATUS_BACK: the balancer sends no messages to peers and no probes
    }))
}

fn write_line(reply: &mut Vec<u8>, value: &Value) {
    let _ = writeln!(reply, "{value}");
}

fn write_action(id: &str, addresses: &HashMap<BackendId, String>, action: &Action, reply: &mut Vec<u8>) {
    let address = |backend: &BackendId| addresses.get(backend).map_or("", String::as_str);
    // Instance names and addresses were checked and contain no characters that JSON escapes.
    let _ = match action {
        Action::Dispatch { request, backend } => {
            let to = address(backend);
            writeln!(reply, "[\"HAND_OFF\",\"{id}\",\"{:016x}\",\"{to}\",0]", request.0)
        }
        Action::Refuse { request } => writeln!(reply, "[\"BOUNCE\",\"{id}\",\"{:016x}\",0]", request.0),
        Action::Fail { request } => writeln!(reply, "[\"LOSE\",\"{id}\",\"{:016x}\"]", request.0),
        // The simulator has no other region, so no request is ever forwarded.
        Action::Forward { .. } => Ok(()),
        Action::Cancel { request, attempt } => {
            writeln!(reply, "[\"RECALL\",\"{id}\",\"{:016x}\",{}]", request.0, attempt.0)
        }
        Action::SetTimer { token, after } => writeln!(reply, "[\"AFTER\",\"{id}\",{},{}]", token.0, after.0),
        Action::SubscribeBackends => writeln!(reply, "[\"FOLLOW\",\"{id}\",true]"),
        Action::Log(text) => writeln!(reply, "{}", serde_json::json!(["WRITE_LOG", id, text])),
    };
}
