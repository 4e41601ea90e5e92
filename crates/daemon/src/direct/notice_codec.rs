//! Encodes and decodes notices, each of which fits into one datagram.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use headlatch_core::direct::{
    engine_model::EngineLoad,
    evacuation::EvacuatedDomains,
    leaving::LeavingNotice,
    peers::{DomainKey, DrainNotice, LoadNotice, PeerKind, PeerNotice, ServerNotice, WantedNotice},
    rate_limits::LimitNotice,
    request_digest::RequestDigest,
    server_table::{ColdNotice, MisdirectedNotice},
    suspect_parts::PartNotice,
    suspects::{LifeKey, ProgressAtEnd, SuspectNotice},
};
use headlatch_types::{
    pace::ServerPace, quantity::RequestRate, request::PartKey, store::StoreRevision,
    traffic::WeightVersion,
};
use headlatch_wire as wire;
use prost::Message;

/// Encodes an address: the IP address, then the port.
pub(super) fn address_bytes(address: &SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes
}

/// Decodes an address; `None` if the bytes are not one.
pub(super) fn address_of(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk::<2>()?;
    let port = u16::from_be_bytes(*port);
    let ip = match ip.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(ip).ok()?),
        16 => IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
        _ => return None,
    };
    Some(SocketAddr::new(ip, port))
}

fn encode_load(load: &LoadNotice) -> wire::NoticeLoad {
    wire::NoticeLoad {
        server: load.server,
        in_flight: load.load.in_flight,
        waiting_tokens: load.load.waiting_tokens,
    }
}

fn encode_leaving(leaving: &LeavingNotice) -> wire::NoticeLeaving {
    let LeavingNotice { server, revision, returned } = *leaving;
    wire::NoticeLeaving { server, revision: revision.to_wire(), returned }
}

fn decode_leaving(leaving: &wire::NoticeLeaving) -> LeavingNotice {
    let wire::NoticeLeaving { server, revision, returned } = *leaving;
    LeavingNotice { server, revision: StoreRevision::from_wire(revision), returned }
}
fn encode_limit(notice: &LimitNotice) -> wire::NoticeLimit {
    wire::NoticeLimit {
        life: notice.life.0,
        limit_milli: notice.limit.map(RequestRate::milli),
        age_ms: notice.age.as_millis() as u32,
    }
}

fn decode_limit(notice: &wire::NoticeLimit) -> LimitNotice {
    LimitNotice {
        life: LifeKey(notice.life),
        limit: notice.limit_milli.map(RequestRate::from_milli),
        age: Duration::from_millis(notice.age_ms.into()),
    }
}

fn encode_cold(notice: &ColdNotice) -> wire::NoticeCold {
    wire::NoticeCold { life: notice.life.0, remaining_ms: saturating_millis(notice.remaining) }
}

fn decode_cold(notice: &wire::NoticeCold) -> ColdNotice {
    let remaining = Duration::from_millis(notice.remaining_ms.into());
    ColdNotice { life: LifeKey(notice.life), remaining }
}

fn encode_misdirected(notice: &MisdirectedNotice) -> wire::NoticeMisdirected {
    wire::NoticeMisdirected { life: notice.life.0, age_ms: saturating_millis(notice.age) }
}

fn decode_misdirected(notice: &wire::NoticeMisdirected) -> MisdirectedNotice {
    let age = Duration::from_millis(notice.age_ms.into());
    MisdirectedNotice { life: LifeKey(notice.life), age }
}

/// Values of the field `word` of [`wire::NoticeSuspect`].
const ENDED_SILENT: u32 = 0;
const ENDED_BEGUN: u32 = 1;
const REFUSED: u32 = 2;
const CLEARED: u32 = 3;

fn encode_suspect(notice: &SuspectNotice) -> wire::NoticeSuspect {
    let digest = notice.digest().0;
    let told = wire::NoticeSuspect { digest, ..wire::NoticeSuspect::default() };
    match *notice {
        SuspectNotice::Ended { life, run, .. } => {
            let word = if run == ProgressAtEnd::Silent { ENDED_SILENT } else { ENDED_BEGUN };
            wire::NoticeSuspect { word, life: life.0, ..told }
        }
        SuspectNotice::Refused { left, .. } => {
            let left_s = left.as_secs().min(u32::MAX.into()) as u32;
            wire::NoticeSuspect { word: REFUSED, left_s, ..told }
        }
        SuspectNotice::Cleared { .. } => wire::NoticeSuspect { word: CLEARED, ..told },
    }
}

fn decode_suspect(encoded: &wire::NoticeSuspect) -> Option<SuspectNotice> {
    let (digest, life) = (RequestDigest(encoded.digest), LifeKey(encoded.life));
    Some(match encoded.word {
        ENDED_SILENT => SuspectNotice::Ended { digest, life, run: ProgressAtEnd::Silent },
        ENDED_BEGUN => SuspectNotice::Ended { digest, life, run: ProgressAtEnd::Begun },
        REFUSED => {
            SuspectNotice::Refused { digest, left: Duration::from_secs(encoded.left_s.into()) }
        }
        CLEARED => SuspectNotice::Cleared { digest },
        // A newer process may send values that this version does not know.
        _ => return None,
    })
}

/// Values of the field `word` of [`wire::NoticeSuspectPart`].
const PART_ENDED: u32 = 0;
const PART_REFUSED: u32 = 1;
const PART_RELEASED: u32 = 2;
const PART_SOUND: u32 = 3;

fn encode_part(notice: &PartNotice) -> wire::NoticeSuspectPart {
    let encoded = wire::NoticeSuspectPart { part: notice.part().0, ..Default::default() };
    match *notice {
        PartNotice::Ended { life, age, .. } => wire::NoticeSuspectPart {
            word: PART_ENDED,
            life: life.0,
            age_ms: saturating_millis(age),
            ..encoded
        },
        PartNotice::Refused { left, .. } => {
            let left_s = left.as_secs().min(u32::MAX.into()) as u32;
            wire::NoticeSuspectPart { word: PART_REFUSED, left_s, ..encoded }
        }
        PartNotice::Released { .. } => wire::NoticeSuspectPart { word: PART_RELEASED, ..encoded },
        PartNotice::Sound { age, .. } => {
            wire::NoticeSuspectPart { word: PART_SOUND, age_ms: saturating_millis(age), ..encoded }
        }
    }
}

fn saturating_millis(time: Duration) -> u32 {
    time.as_millis().min(u32::MAX.into()) as u32
}

fn decode_part(encoded: &wire::NoticeSuspectPart) -> Option<PartNotice> {
    let (part, age) = (PartKey(encoded.part), Duration::from_millis(encoded.age_ms.into()));
    Some(match encoded.word {
        PART_ENDED => PartNotice::Ended { part, life: LifeKey(encoded.life), age },
        PART_REFUSED => {
            PartNotice::Refused { part, left: Duration::from_secs(encoded.left_s.into()) }
        }
        PART_RELEASED => PartNotice::Released { part },
        PART_SOUND => PartNotice::Sound { part, age },
        // A newer process may send values that this version does not know.
        _ => return None,
    })
}

fn encode_evacuated(evacuated: &EvacuatedDomains) -> Option<wire::NoticeEvacuated> {
    let EvacuatedDomains { mark, domains } = evacuated;
    (*mark > StoreRevision::default()).then(|| wire::NoticeEvacuated {
        mark: mark.to_wire(),
        domains: domains.iter().map(|domain| domain.0).collect(),
    })
}

fn decode_evacuated(encoded: wire::NoticeEvacuated) -> EvacuatedDomains {
    let domains = encoded.domains.into_iter().map(DomainKey);
    EvacuatedDomains { mark: StoreRevision::from_wire(encoded.mark), domains: domains.collect() }
}

fn encode_wanted(wanted: &WantedNotice) -> wire::NoticeWanted {
    wire::NoticeWanted {
        model: wanted.model.to_string(),
        version: wanted.version.0,
        age_ms: wanted.age.as_millis() as u64,
    }
}

fn decode_wanted(wanted: &wire::NoticeWanted) -> Option<WantedNotice> {
    Some(WantedNotice {
        model: wanted.model.parse().ok()?,
        version: version(wanted.version)?,
        age: Duration::from_millis(wanted.age_ms),
    })
}

fn decode_load(load: &wire::NoticeLoad) -> LoadNotice {
    let (in_flight, waiting_tokens) = (load.in_flight, load.waiting_tokens);
    LoadNotice { server: load.server, load: EngineLoad { in_flight, waiting_tokens } }
}

/// Encodes a notice.
pub fn encode(notice: &PeerNotice) -> Vec<u8> {
    encode_message(notice).encode_to_vec()
}

/// Converts a notice to its protobuf message.
pub(super) fn encode_message(notice: &PeerNotice) -> wire::PeerNotice {
    let server = notice.server.as_ref().map(|server| wire::NoticeServer {
        address: address_bytes(&server.address),
        whole: server.whole.unwrap_or_default().0,
        changing: server.changing,
        staged: server.staged.unwrap_or_default().0,
        sharing: server.sharing.unwrap_or_default().0,
        zone: server.zone.to_string(),
        service: server.service.clone(),
        pace: server.pace.map_or(0, ServerPace::hundredths),
    });
    let drain = |drain: &DrainNotice| wire::NoticeDrain {
        server: address_bytes(&drain.server),
        waiting: drain.waiting,
        kept: drain.unresumable,
    };
    let domain_loads = notice.domain_loads.as_deref().unwrap_or_default();
    wire::PeerNotice {
        from: address_bytes(&notice.from),
        agent: notice.kind == PeerKind::Agent,
        life: notice.incarnation,
        sequence: notice.sequence,
        plan: notice.plan,
        servers: notice.servers.to_wire(),
        leaving: notice.leaving.iter().map(encode_leaving).collect(),
        draining_lives: notice.draining_lives.iter().map(|life| life.0).collect(),
        limits: notice.limits.iter().map(encode_limit).collect(),
        cold: notice.cold.iter().map(encode_cold).collect(),
        misdirected: notice.misdirected.iter().map(encode_misdirected).collect(),
        suspects: notice.suspects.iter().map(encode_suspect).collect(),
        suspect_parts: notice.suspect_parts.iter().map(encode_part).collect(),
        reads_store: notice.reads_store,
        peers: notice.peers.iter().map(address_bytes).collect(),
        loads: notice.loads.iter().map(encode_load).collect(),
        drains: notice.drains.iter().map(drain).collect(),
        server,
        domain: notice.domain.0,
        changes_only: notice.changes_only,
        domain_loads: domain_loads.iter().map(encode_load).collect(),
        tells_domain: notice.domain_loads.is_some(),
        wanted: notice.wanted.iter().map(encode_wanted).collect(),
        evacuated: encode_evacuated(&notice.evacuated),
    }
}

fn version(number: u64) -> Option<WeightVersion> {
    (number > 0).then_some(WeightVersion(number))
}

/// Decodes a notice; `None` if the bytes are not one.
pub fn decode(bytes: &[u8]) -> Option<PeerNotice> {
    decode_message(wire::PeerNotice::decode(bytes).ok()?)
}

/// Converts a protobuf message to a notice; `None` if it is invalid.
pub(super) fn decode_message(message: wire::PeerNotice) -> Option<PeerNotice> {
    let server = match message.server {
        None => None,
        Some(server) => Some(ServerNotice {
            address: address_of(&server.address)?,
            whole: version(server.whole),
            changing: server.changing,
            staged: version(server.staged),
            sharing: version(server.sharing),
            zone: server.zone.parse().ok()?,
            service: server.service,
            pace: ServerPace::from_hundredths(server.pace).ok(),
        }),
    };
    let drain = |drain: &wire::NoticeDrain| {
        let (waiting, kept) = (drain.waiting, drain.kept);
        Some(DrainNotice { server: address_of(&drain.server)?, waiting, unresumable: kept })
    };
    let domain_loads = || message.domain_loads.iter().map(decode_load).collect();
    Some(PeerNotice {
        from: address_of(&message.from)?,
        kind: if message.agent { PeerKind::Agent } else { PeerKind::Entry },
        domain: DomainKey(message.domain),
        incarnation: message.life,
        sequence: message.sequence,
        plan: message.plan,
        servers: StoreRevision::from_wire(message.servers),
        leaving: message.leaving.iter().map(decode_leaving).collect(),
        draining_lives: message.draining_lives.iter().copied().map(LifeKey).collect(),
        limits: message.limits.iter().map(decode_limit).collect(),
        cold: message.cold.iter().map(decode_cold).collect(),
        misdirected: message.misdirected.iter().map(decode_misdirected).collect(),
        suspects: message.suspects.iter().filter_map(decode_suspect).collect(),
        suspect_parts: message.suspect_parts.iter().filter_map(decode_part).collect(),
        reads_store: message.reads_store,
        peers: message.peers.iter().filter_map(|bytes| address_of(bytes)).collect(),
        loads: message.loads.iter().map(decode_load).collect(),
        changes_only: message.changes_only,
        domain_loads: message.tells_domain.then(domain_loads),
        drains: message.drains.iter().filter_map(drain).collect(),
        server,
        wanted: message.wanted.iter().filter_map(decode_wanted).collect(),
        evacuated: message.evacuated.map(decode_evacuated).unwrap_or_default(),
    })
}
