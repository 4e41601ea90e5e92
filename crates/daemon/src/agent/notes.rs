//! Sends the notes of a transfer to other boxes.

use std::{net::SocketAddr, sync::Arc};

use headlatch_wire::SwarmNotes;

use crate::node::NodeContext;

/// Called if the notes are known not to have been delivered.
pub type UndeliveredCallback = Box<dyn FnOnce() + Send>;

/// Sends notes to other boxes. Delivery is best effort; the protocol tolerates lost notes.
pub trait NoteSender: Send + Sync + std::fmt::Debug {
    /// Sends `notes`; `lost` is called if they are known not to have been delivered.
    fn send(&self, to: SocketAddr, notes: SwarmNotes, lost: UndeliveredCallback);
}

/// Sends notes by gRPC, one call per message.
#[derive(Debug)]
pub struct GrpcNoteSender(pub Arc<NodeContext>);

impl NoteSender for GrpcNoteSender {
    fn send(&self, to: SocketAddr, notes: SwarmNotes, lost: UndeliveredCallback) {
        let mut client = self.0.channels.node(to);
        tokio::spawn(async move {
            if client.tell(notes).await.is_err() {
                lost();
            }
        });
    }
}
