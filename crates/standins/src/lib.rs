//! Small stand-ins for the systems that headlatch meets: platform, origin, weight store, model
//! engine and plain service.
//!
//! Each speaks the protocol that `docs/operators/outside-systems.md` describes, over real
//! sockets, and has a few switches that bring about the failures it is known for.

pub mod engine;
pub mod half_deaf;
pub mod plain;
pub mod platform;
pub mod request_line;
pub mod weights;

use std::net::SocketAddr;

use headlatch_http::{HttpLimits, HttpServer, StopHandle};
use volo_http::server::Router;

pub use request_line::RequestLine;

/// A running stand-in; it stops when this is dropped.
#[derive(Debug)]
pub struct RunningStandIn {
    address: SocketAddr,
    stop: StopHandle,
}

impl RunningStandIn {
    /// Serves `router` at `address`; port 0 takes a free port.
    pub async fn start(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let server = HttpServer::bind(address, HttpLimits::default()).await?;
        let address = server.address()?;
        let (stop, signal) = StopHandle::new();
        tokio::spawn(server.serve(router, signal));
        Ok(Self { address, stop })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for RunningStandIn {
    fn drop(&mut self) {
        self.stop.stop();
    }
}
