//! The log: one line for each event on standard error, filtered by the level in the environment variable
//! `GAUGESADDLE_LOG`.

use spdlog::{Level, LevelFilter};

/// Environment variable with the least severe level that is written: `debug`, `info`, `warn` or `error`.
pub const LEVEL_VARIABLE: &str = "GAUGESADDLE_LOG";

/// Sets the level of the default logger: `info` where the variable is not set or has another value.
pub fn set_level_from_environment() {
    let level = match std::env::var(LEVEL_VARIABLE).as_deref() {
        Ok("debug") => Level::Debug,
        Ok("warn") => Level::Warn,
        Ok("error") => Level::Error,
        _ => Level::Info,
    };
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(level));
}
