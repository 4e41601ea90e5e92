//! A simulated agent that sends an entry notices about its server.

use std::{net::SocketAddr, sync::Arc};

use headlatch_core::direct::peers::{DomainKey, DrainNotice, PeerKind, PeerNotice, ServerNotice};
use headlatch_daemon::direct::{entry_notices, notices, state::EntryState};
use tokio::net::UdpSocket;

/// Announces to the entry that `server` is about to switch versions, and returns the drain notices
/// with which the entry answers.
pub async fn drain_notices_for_change(
    state: &Arc<EntryState>,
    server: SocketAddr,
) -> Vec<DrainNotice> {
    let bind = || UdpSocket::bind("127.0.0.1:0");
    let (own, agent) = (bind().await.expect("free port"), bind().await.expect("free port"));
    let entry = own.local_addr().expect("socket is bound");
    tokio::spawn(entry_notices::run(state.clone(), own.into()));
    let sender = agent.local_addr().expect("socket is bound");
    let changing = ServerNotice {
        address: server,
        whole: None,
        changing: true,
        staged: None,
        sharing: None,
        zone: "z1".parse().expect("valid zone name"),
        service: "s".to_owned(),
        pace: None,
    };
    let notice = PeerNotice {
        server: Some(changing),
        ..PeerNotice::empty(sender, PeerKind::Agent, DomainKey(1))
    };
    agent.send_to(&notices::encode(&notice), entry).await.expect("send a notice");
    let mut buffer = vec![0; notices::MAX_DATAGRAM_BYTES];
    loop {
        let (length, _) = agent.recv_from(&mut buffer).await.expect("receive a notice");
        let answer = notices::decode(&buffer[..length]).expect("valid notice");
        if !answer.drains.is_empty() {
            return answer.drains;
        }
    }
}
