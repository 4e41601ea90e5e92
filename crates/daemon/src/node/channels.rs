//! Cached gRPC connections to other nodes.

use std::{collections::HashMap, net::SocketAddr, sync::Mutex, time::Duration};

use headlatch_wire::{endpoint_client::EndpointClient, node_client::NodeClient};
use tonic::transport::{Channel, Endpoint};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between HTTP/2 keep-alive pings.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout for the response to a keep-alive ping.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(4);

/// Flow-control window per stream, limited so that one chunk does not starve the others.
const STREAM_WINDOW: u32 = 512 << 10;

/// Flow-control window per connection.
const CONNECTION_WINDOW: u32 = 4 << 20;

/// One connection per node, established lazily.
#[derive(Debug, Default)]
pub struct ChannelCache {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl ChannelCache {
    fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        channels.entry(address).or_insert_with(|| connect(address)).clone()
    }

    /// Client of the node control service at `address`.
    pub fn node(&self, address: SocketAddr) -> NodeClient<Channel> {
        NodeClient::new(self.channel(address))
            .max_decoding_message_size(super::service::MAX_MESSAGE_BYTES)
    }

    /// Client of the endpoint service at `address`.
    pub fn endpoint(&self, address: SocketAddr) -> EndpointClient<Channel> {
        EndpointClient::new(self.channel(address))
            .max_decoding_message_size(super::service::MAX_MESSAGE_BYTES)
    }

    /// Drops connections to nodes that are no longer alive.
    pub fn retain(&self, alive: impl Fn(&SocketAddr) -> bool) {
        let mut channels = self.channels.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        channels.retain(|address, _| alive(address));
    }
}

fn connect(address: SocketAddr) -> Channel {
    let uri = format!("http://{address}");
    Endpoint::from_shared(uri)
        .expect("a socket address forms a valid URI")
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .tcp_nodelay(true)
        .connect_lazy()
}
