//! Connections to other nodes.

use std::{collections::HashMap, net::SocketAddr, sync::Mutex, time::Duration};

use headlatch_wire::{endpoint_client::EndpointClient, node_client::NodeClient};
use tonic::transport::{Channel, Endpoint};

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How often an idle connection is tried.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Time for the answer to such a try.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(4);

/// Flow-control window of a stream, so that one chunk does not starve the others.
const STREAM_WINDOW: u32 = 512 << 10;

/// Flow-control window of a connection.
const CONNECTION_WINDOW: u32 = 4 << 20;

/// One connection per node, made when it is first needed.
#[derive(Debug, Default)]
pub struct ChannelCache {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl ChannelCache {
    fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        channels.entry(address).or_insert_with(|| connect(address)).clone()
    }

    /// A client of the control service at `address`.
    pub fn node(&self, address: SocketAddr) -> NodeClient<Channel> {
        NodeClient::new(self.channel(address))
            .max_decoding_message_size(super::service::MAX_MESSAGE_BYTES)
    }

    /// A client of the endpoint service at `address`.
    pub fn endpoint(&self, address: SocketAddr) -> EndpointClient<Channel> {
        EndpointClient::new(self.channel(address))
            .max_decoding_message_size(super::service::MAX_MESSAGE_BYTES)
    }

    /// Drops connections to nodes that are gone.
    pub fn retain(&self, alive: impl Fn(&SocketAddr) -> bool) {
        let mut channels = self.channels.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        channels.retain(|address, _| alive(address));
    }
}

fn connect(address: SocketAddr) -> Channel {
    let uri = format!("http://{address}");
    Endpoint::from_shared(uri)
        .expect("a socket address makes a URI")
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .tcp_nodelay(true)
        .connect_lazy()
}
