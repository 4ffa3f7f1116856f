//! The program `gaugesaddle-control`; see the library.

fn main() -> std::process::ExitCode {
    gaugesaddle_control::cli::main()
}
