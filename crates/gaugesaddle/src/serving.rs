//! The request path, in the order in which a request takes it:
//!
//! 1. [`client_socket`] reads from a client, and notices when it disconnects.
//! 2. [`server`] accepts connections, limits them, and hands over complete requests.
//! 3. [`request_rules`] reads what a request's head says, or why it is invalid; [`body`] buffers or streams its body.
//! 4. [`driver`] owns the balancer, the open requests and their attempts, and carries out the balancer's decisions.
//! 5. [`upstream`] sends an attempt to a backend over a pooled connection and returns its one outcome.
//! 6. The answer goes back over the request's reply channel to [`server`], which relays it to the client.
//!
//! [`exchange`] holds the types that pass between these steps. [`extension`] is what an optional part of the proxy sees of
//! the driver; [`overload`] is one of them.

pub mod body;
mod client_connection;
pub mod client_socket;
pub mod driver;
pub mod exchange;
pub mod extension;
pub mod overload;
pub mod request_rules;
pub mod server;
pub mod upstream;
