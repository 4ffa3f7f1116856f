//! The request path, in the order in which a request takes it:
//!
//! 1. [`client_socket`] reads from a client, and detects when it disconnects.
//! 2. [`server`] accepts connections, limits them, and hands over complete requests.
//! 3. [`request_rules`] validates and parses a request's head; [`body`] buffers or streams its body.
//! 4. [`driver`] owns the balancer, the open requests and their attempts, and carries out the balancer's decisions.
//! 5. [`upstream`] sends an attempt to a backend over a pooled connection and returns its one outcome; [`completeness`]
//!    decides whether the end of an answer's body is the end of the answer.
//! 6. The answer is sent over the request's reply channel to [`server`], which relays it to the client.
//!
//! [`exchange`] has the types that pass between these steps. [`extension`] is the interface between the driver and the
//! optional parts of the proxy; [`overload`] is one of these.

pub mod body;
mod client_connection;
pub mod client_socket;
pub mod completeness;
pub mod driver;
pub mod exchange;
pub mod extension;
pub mod overload;
pub mod request_rules;
pub mod server;
pub mod upstream;
