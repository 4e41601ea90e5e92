//! Servers by address, and which of them is there now.

use std::net::SocketAddr;

use headlatch_types::traffic::ServerId;

use super::{ServerState, ServerTable};

impl ServerTable {
    /// Finds the newest record of an address. A server that has ended stays listed for some time, while another one
    /// may listen at its address already.
    pub(super) fn mark_superseded(&mut self, address: SocketAddr) {
        let Some(ids) = self.addresses.get(&address) else { return };
        let age = |state: &ServerState| (state.record.started_at, state.revision);
        let newest = ids.iter().filter_map(|id| self.servers.get(id)).map(age).max();
        for id in ids {
            if let Some(state) = self.servers.get_mut(id) {
                state.superseded = Some(age(state)) < newest;
            }
        }
    }

    /// Adds a server to the index by address.
    pub(super) fn add_address(&mut self, address: SocketAddr, id: &ServerId) {
        let ids = self.addresses.entry(address).or_default();
        if !ids.contains(id) {
            ids.push(id.clone());
        }
    }

    /// Removes a server from the index by address.
    pub(super) fn remove_address(&mut self, address: SocketAddr, id: &ServerId) {
        let Some(ids) = self.addresses.get_mut(&address) else { return };
        ids.retain(|listed| listed != id);
        if ids.is_empty() {
            self.addresses.remove(&address);
        }
        self.mark_superseded(address);
    }
}
