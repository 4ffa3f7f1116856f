//! Adapter of the simulator: translates its line protocol on standard input and output to events and actions of one
//! [`gaugesaddle_balancer::Balancer`] per instance. All decisions are made by the library.

mod wire;

use std::io::{BufRead, Write};

fn main() -> std::process::ExitCode {
    let (stdin, stdout) = (std::io::stdin().lock(), std::io::stdout().lock());
    match run(stdin, stdout) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gaugesaddle-simulator-host: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}

fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut adapter = wire::Adapter::default();
    let (mut line, mut number) = (String::new(), 0u64);
    let mut reply = Vec::new();
    loop {
        line.clear();
        number += 1;
        let bytes = input.read_line(&mut line).map_err(|e| format!("line {number}: failed to read: {e}"))?;
        if bytes == 0 {
            return Ok(());
        }
        let is_complete =
            adapter.handle_line(line.trim_end(), &mut reply).map_err(|e| format!("line {number}: {e}"))?;
        if is_complete {
            let written = output.write_all(&reply).and_then(|()| output.flush());
            written.map_err(|e| format!("line {number}: failed to write the reply: {e}"))?;
            reply.clear();
        }
    }
}
