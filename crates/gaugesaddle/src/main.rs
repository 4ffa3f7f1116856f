//! Entry point of the proxy and its commands, which the library implements.

fn main() -> std::process::ExitCode {
    gaugesaddle::cli::main()
}
