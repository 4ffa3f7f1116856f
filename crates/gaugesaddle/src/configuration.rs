//! Configuration of the proxy: the platform's file and the operator's file.

pub mod invalid_key;
pub mod operator;
pub mod platform;

pub use invalid_key::InvalidKey;
