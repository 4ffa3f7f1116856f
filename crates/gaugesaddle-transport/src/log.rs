//! The log: one line an event on standard error, its level set by `GAUGESADDLE_LOG`.

use spdlog::{Level, LevelFilter};

/// Environment variable with the least level that is written.
pub const LEVEL_VARIABLE: &str = "GAUGESADDLE_LOG";

/// Sets the level of the default logger: `info` where the variable says nothing that is known.
pub fn start() {
    let level = match std::env::var(LEVEL_VARIABLE).as_deref() {
        Ok("debug") => Level::Debug,
        Ok("warn") => Level::Warn,
        Ok("error") => Level::Error,
        _ => Level::Info,
    };
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(level));
}
