//! The control plane and its commands; all of it is the library's.

fn main() -> std::process::ExitCode {
    gaugesaddle_control::cli::main()
}
