//! How the notes of a transfer reach other boxes.

use std::{net::SocketAddr, sync::Arc};

use headlatch_wire::SwarmNotes;

use crate::node::NodeContext;

/// What is done if a box is known not to have had the notes.
pub type UndeliveredCallback = Box<dyn FnOnce() + Send>;

/// Carries notes to other boxes; notes may be lost, which the protocol bears.
pub trait NoteSender: Send + Sync + std::fmt::Debug {
    /// Sends `notes`; `lost` is called if it is known that they did not arrive.
    fn send(&self, to: SocketAddr, notes: SwarmNotes, lost: UndeliveredCallback);
}

/// Carries notes by gRPC, one call each.
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
