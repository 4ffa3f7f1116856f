//! Speaks the bench's wire on standard input and output: one [`gaugesaddle_balancer::Balancer`] per instance.
//! Translation only; every decision is the library's.

mod wire;

use std::io::{BufRead, Write};

fn main() -> std::process::ExitCode {
    let (stdin, stdout) = (std::io::stdin().lock(), std::io::stdout().lock());
    match run(stdin, stdout) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("gaugesaddle-simulator-host: {text}");
            std::process::ExitCode::FAILURE
        }
    }
}

fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = wire::Host::default();
    let (mut line, mut number) = (String::new(), 0u64);
    let mut reply = Vec::new();
    loop {
        line.clear();
        number += 1;
        let read = input.read_line(&mut line).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            return Ok(());
        }
        let done = host.line(line.trim_end(), &mut reply).map_err(|e| format!("line {number}: {e}"))?;
        if done {
            let sent = output.write_all(&reply).and_then(|()| output.flush());
            sent.map_err(|e| format!("reply after line {number}: {e}"))?;
            reply.clear();
        }
    }
}
