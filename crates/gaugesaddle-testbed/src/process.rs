//! Proxies that run as processes.

use serde_json::Value;
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

/// Number of lines retained from the end of a proxy's log.
const LOG_CAPACITY: usize = 2000;

/// The program of a proxy and its arguments.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program.
    pub path: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
}

/// Peak resident memory of a process, in kilobytes.
///
/// # Errors
/// The system does not report it.
pub fn peak_kb(pid: u32) -> io::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").trim().parse().ok())
        .ok_or_else(|| io::Error::other("/proc/<pid>/status contains no valid VmHWM line"))
}

/// A running proxy process. It is killed when dropped.
pub struct Process {
    child: Child,
    config: PathBuf,
    log: Arc<Mutex<VecDeque<String>>>,
}

impl Process {
    /// Starts a proxy with a configuration, which is written to a file in `folder`.
    ///
    /// # Errors
    /// The configuration cannot be written, or the program cannot be started.
    pub fn start(program: &Program, folder: &Path, name: &str, config: &Value) -> io::Result<Process> {
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, config.to_string())?;
        let mut child = Command::new(&program.path)
            .args(&program.arguments)
            .env("BALANCER_CONFIG", &file)
            .env("BALANCER_NAME", name)
            .env_remove("GAUGESADDLE_CONFIG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = Arc::<Mutex<VecDeque<String>>>::default();
        if let Some(stderr) = child.stderr.take() {
            let lines = log.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let mut lines = lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                    if lines.len() == LOG_CAPACITY {
                        lines.pop_front();
                    }
                    lines.push_back(line);
                }
            });
        }
        Ok(Process { child, config: file, log })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM` or `STOP`.
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        send_signal(self.id(), name)
    }

    /// Replaces its configuration and makes it reload by SIGHUP.
    ///
    /// # Errors
    /// The configuration cannot be written, or the signal cannot be sent.
    pub fn reload(&self, config: &Value) -> io::Result<()> {
        // Renamed into place, so that a reader sees either the old or the new file.
        let replacement = self.config.with_extension("new");
        std::fs::write(&replacement, config.to_string())?;
        std::fs::rename(&replacement, &self.config)?;
        self.signal("HUP")
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process exited with code 0; `None` while it runs.
    pub fn ended(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// The last lines that the process has written to standard error.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(std::sync::PoisonError::into_inner).iter().cloned().collect()
    }
}

/// Sends a signal by its name to a process. Runs `kill`, whose start may block for long on a busy machine.
pub fn send_signal(process: u32, name: &str) -> io::Result<()> {
    let status = Command::new("kill").args([&format!("-{name}"), &process.to_string()]).status()?;
    if status.success() {
        Ok(())
    } else {
        Err(io::Error::other(format!("kill -{name} failed")))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
