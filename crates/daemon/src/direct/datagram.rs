//! Contents of a datagram: a notice, a relay's bundle, or notes of a transfer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use headlatch_core::direct::{
    peers::{DomainKey, DrainReport, PeerKind, PeerNotice},
    relays::{DomainRoster, DrainSum, PeerBundle, RelayedNotice, RosterMember},
};
use headlatch_wire as wire;
use prost::Message;
use tokio::net::UdpSocket;

use super::notice_codec::{
    address_bytes, address_of, decode, decode_message, encode, encode_message,
};
use crate::agent::notes::{NoteSender, UndeliveredCallback};

/// First byte of a bundle. No protobuf message starts with it, so a notice needs no tag.
const BUNDLE_TAG: u8 = 0x01;

/// First byte of the notes of a transfer.
const NOTES_TAG: u8 = 0x02;

/// Size of an address in a roster: an IPv4 address and a port.
const ADDRESS_BYTES: usize = 6;

/// Resolution of a member's age, in milliseconds.
const AGE_STEP_MS: u128 = 10;

/// Maximum size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// A decoded datagram.
#[derive(Debug, Clone, PartialEq)]
pub enum Datagram {
    /// Notice of a process about itself.
    Notice(Box<PeerNotice>),
    /// Bundle of a relay about other processes.
    Bundle(PeerBundle),
    /// Notes of a transfer.
    Notes(wire::SwarmNotes),
}

impl Datagram {
    /// Decodes a datagram; `None` if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        match bytes.split_first()? {
            (&BUNDLE_TAG, rest) => decode_bundle(rest).map(Self::Bundle),
            (&NOTES_TAG, rest) => wire::SwarmNotes::decode(rest).ok().map(Self::Notes),
            _ => decode(bytes).map(|notice| Self::Notice(Box::new(notice))),
        }
    }

    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Self::Notice(notice) => encode(notice),
            Self::Bundle(bundle) => tagged(BUNDLE_TAG, &encode_bundle(bundle)),
            Self::Notes(notes) => tagged(NOTES_TAG, notes),
        }
    }
}

fn tagged(tag: u8, message: &impl Message) -> Vec<u8> {
    let mut bytes = vec![tag];
    bytes.extend(message.encode_to_vec());
    bytes
}

fn encode_roster(roster: &DomainRoster) -> wire::BundleRoster {
    let ipv4_members = roster.members.iter().filter(|member| member.address.is_ipv4());
    let (mut addresses, mut ages) = (Vec::new(), Vec::new());
    for member in ipv4_members {
        addresses.extend(address_bytes(&member.address));
        let steps = (member.age.as_millis() / AGE_STEP_MS).min(u128::from(u16::MAX)) as u32;
        ages.push(steps * 2 + u32::from(member.kind == PeerKind::Agent));
    }
    wire::BundleRoster { domain: roster.domain.0, addresses, ages }
}

fn decode_roster(roster: &wire::BundleRoster) -> Option<DomainRoster> {
    let (addresses, rest) = roster.addresses.as_chunks::<ADDRESS_BYTES>();
    if !rest.is_empty() || addresses.len() != roster.ages.len() {
        return None;
    }
    let members = addresses.iter().zip(&roster.ages).map(|(bytes, age)| {
        let kind = if age % 2 == 1 { PeerKind::Agent } else { PeerKind::Entry };
        let age = Duration::from_millis(u64::from(age / 2) * AGE_STEP_MS as u64);
        Some(RosterMember { address: address_of(bytes)?, kind, age })
    });
    let members = members.collect::<Option<Vec<_>>>()?;
    Some(DomainRoster { domain: DomainKey(roster.domain), members })
}

fn encode_bundle(bundle: &PeerBundle) -> wire::PeerBundle {
    let notice = |relayed: &RelayedNotice| wire::BundleNotice {
        notice: Some(encode_message(&relayed.notice)),
        age_ms: relayed.age.as_millis().min(u128::from(u32::MAX)) as u32,
    };
    let drain = |sum: &DrainSum| wire::BundleDrain {
        server: address_bytes(&sum.server),
        unconfirmed: sum.report.unconfirmed as u32,
        waiting: sum.report.waiting,
        kept: sum.report.unresumable,
    };
    wire::PeerBundle {
        from: address_bytes(&bundle.from),
        domain: bundle.domain.0,
        rosters: bundle.rosters.iter().map(encode_roster).collect(),
        notices: bundle.notices.iter().map(notice).collect(),
        drains: bundle.drains.iter().map(drain).collect(),
        hears: (!bundle.received_from.is_empty())
            .then(|| encode_roster(&received_from_roster(&bundle.received_from))),
    }
}

/// Represents the peers that a relay receives directly as a roster.
fn received_from_roster(members: &[RosterMember]) -> DomainRoster {
    DomainRoster { domain: DomainKey::default(), members: members.to_vec() }
}

fn decode_bundle(bytes: &[u8]) -> Option<PeerBundle> {
    let message = wire::PeerBundle::decode(bytes).ok()?;
    let notice = |relayed: wire::BundleNotice| {
        Some(RelayedNotice {
            notice: decode_message(relayed.notice?)?,
            age: Duration::from_millis(relayed.age_ms.into()),
        })
    };
    let drain = |drain: &wire::BundleDrain| {
        let report = DrainReport {
            unconfirmed: drain.unconfirmed as usize,
            waiting: drain.waiting,
            unresumable: drain.kept,
        };
        Some(DrainSum { server: address_of(&drain.server)?, report })
    };
    Some(PeerBundle {
        from: address_of(&message.from)?,
        domain: DomainKey(message.domain),
        rosters: message.rosters.iter().map(decode_roster).collect::<Option<_>>()?,
        notices: message.notices.into_iter().map(notice).collect::<Option<_>>()?,
        drains: message.drains.iter().map(drain).collect::<Option<_>>()?,
        received_from: match &message.hears {
            Some(roster) => decode_roster(roster)?.members,
            None => Vec::new(),
        },
    })
}

/// Sends notes of a transfer as datagrams: they are many and small, and the next one compensates for
/// a lost one.
#[derive(Debug)]
pub struct DatagramCarrier(pub Arc<UdpSocket>);

impl NoteSender for DatagramCarrier {
    fn send(&self, to: SocketAddr, notes: wire::SwarmNotes, _lost: UndeliveredCallback) {
        // Send errors are ignored: the protocol tolerates loss.
        let _ = self.0.try_send_to(&Datagram::Notes(notes).encode(), to);
    }
}
