//! An agent that tells an entry of its server.

use std::{net::SocketAddr, sync::Arc};

use headlatch_core::direct::peers::{DomainKey, DrainNotice, PeerKind, PeerNotice, ServerNotice};
use headlatch_daemon::direct::{entry_notices, notices, state::EntryState};
use tokio::net::UdpSocket;

/// The agent of `server` says that the server is about to change; what the entry answers.
pub async fn drains_told(state: &Arc<EntryState>, server: SocketAddr) -> Vec<DrainNotice> {
    let bind = || UdpSocket::bind("127.0.0.1:0");
    let (own, agent) = (bind().await.expect("a port"), bind().await.expect("a port"));
    let entry = own.local_addr().expect("it is bound");
    tokio::spawn(entry_notices::run(state.clone(), own.into()));
    let sender = agent.local_addr().expect("it is bound");
    let changing = ServerNotice {
        address: server,
        whole: None,
        changing: true,
        staged: None,
        sharing: None,
        zone: "z1".parse().expect("a name"),
        service: "s".to_owned(),
    };
    let notice = PeerNotice {
        server: Some(changing),
        ..PeerNotice::empty(sender, PeerKind::Agent, DomainKey(1))
    };
    agent.send_to(&notices::encode(&notice), entry).await.expect("it is bound");
    let mut buffer = vec![0; notices::MAX_DATAGRAM_BYTES];
    loop {
        let (length, _) = agent.recv_from(&mut buffer).await.expect("it is bound");
        let answer = notices::decode(&buffer[..length]).expect("a notice");
        if !answer.drains.is_empty() {
            return answer.drains;
        }
    }
}
