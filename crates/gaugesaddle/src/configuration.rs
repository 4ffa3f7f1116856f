//! Configuration of the proxy: what the platform sets, and the operator's own file.

pub mod invalid_key;
pub mod operator;
pub mod platform;

pub use invalid_key::InvalidKey;
