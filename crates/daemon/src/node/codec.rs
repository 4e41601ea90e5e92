//! Conversion between wire messages and validated types.

use headlatch_core::{
    burst::{ChunkSet, DrawPool, DrawTicket, SwarmNote},
    membership::{EndpointState, GossipPacket, Heartbeat, NodeKind, NodeRecord, ShortKey},
};
use headlatch_types::{ChunkIndex, RunVerdict, fleet::SetKey, quantity::ConfigRevision};
use headlatch_wire as wire;

/// A message with a missing or invalid field.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("message field {field} is missing or invalid")]
pub struct DecodeError {
    /// Name of the field.
    pub field: &'static str,
}

fn invalid(field: &'static str) -> DecodeError {
    DecodeError { field }
}

/// Encodes a node record.
pub fn encode_record(record: &NodeRecord) -> wire::NodeRecord {
    let kind = match record.kind {
        NodeKind::Entry => wire::NodeKind::Entry,
        NodeKind::Agent => wire::NodeKind::Agent,
    };
    wire::NodeRecord {
        box_id: record.id.to_string(),
        domain: record.domain.to_string(),
        region: record.region.to_string(),
        kind: kind.into(),
        control: record.control.to_string(),
        incarnation: record.incarnation,
        version: record.version,
        beat: record.beat,
        revision: record.revision.number(),
        leaving: record.leaving,
        endpoint: record.endpoint.as_ref().map(encode_endpoint),
    }
}

fn encode_endpoint(state: &EndpointState) -> wire::EndpointState {
    wire::EndpointState {
        service: state.service.as_ref().map(ToString::to_string).unwrap_or_default(),
        serving: state.serving.map_or(0, |set| set.0),
        fetching: state.fetching.map_or(0, |set| set.0),
        fetched_permille: state.fetched_permille,
        fetch_rate: state.fetch_rate,
        in_progress: state.in_progress,
        slots: state.slots,
        healthy: state.healthy,
    }
}

/// Decodes and validates a node record.
pub fn decode_record(message: wire::NodeRecord) -> Result<NodeRecord, DecodeError> {
    let kind = match message.kind() {
        wire::NodeKind::Entry => NodeKind::Entry,
        wire::NodeKind::Agent => NodeKind::Agent,
        wire::NodeKind::Unspecified => return Err(invalid("kind")),
    };
    Ok(NodeRecord {
        id: message.box_id.parse().map_err(|_| invalid("box_id"))?,
        domain: message.domain.parse().map_err(|_| invalid("domain"))?,
        region: message.region.parse().map_err(|_| invalid("region"))?,
        kind,
        control: message.control.parse().map_err(|_| invalid("control"))?,
        incarnation: message.incarnation,
        version: message.version,
        beat: message.beat,
        revision: ConfigRevision::new(message.revision),
        leaving: message.leaving,
        endpoint: message.endpoint.map(decode_endpoint).transpose()?,
    })
}

fn decode_endpoint(message: wire::EndpointState) -> Result<EndpointState, DecodeError> {
    let set = |key: u64| (key != 0).then_some(SetKey(key));
    let service = match message.service.as_str() {
        "" => None,
        name => Some(name.parse().map_err(|_| invalid("service"))?),
    };
    Ok(EndpointState {
        service,
        serving: set(message.serving),
        fetching: set(message.fetching),
        fetched_permille: message.fetched_permille.min(1000),
        fetch_rate: message.fetch_rate,
        in_progress: message.in_progress,
        slots: message.slots,
        healthy: message.healthy,
    })
}

/// Encodes a gossip packet.
pub fn encode_packet(packet: &GossipPacket) -> wire::GossipPacket {
    wire::GossipPacket {
        records: packet.records.iter().map(encode_record).collect(),
        beat_keys: packet.beats.iter().map(|beat| beat.key.0).collect(),
        beats: packet.beats.iter().map(|beat| beat.beat).collect(),
        versions: packet.beats.iter().map(|beat| beat.version).collect(),
        figures: packet.beats.iter().map(encode_figures).collect(),
        revisions: packet.beats.iter().map(|beat| beat.revision).collect(),
        wants: packet.wants.iter().map(|key| key.0).collect(),
    }
}

fn encode_figures(beat: &Heartbeat) -> u32 {
    u32::from(beat.in_progress) | u32::from(beat.fetched_permille) << 16
}

/// Decodes a gossip packet; invalid records are skipped.
pub fn decode_packet(message: wire::GossipPacket) -> GossipPacket {
    let keyed_beats = message.beat_keys.into_iter().zip(message.beats);
    let beat_fields = message.versions.into_iter().zip(message.figures).zip(message.revisions);
    type BeatFields = ((u32, u32), u32);
    let beat =
        |((key, beat), ((version, figures), revision)): ((u32, u32), BeatFields)| Heartbeat {
            key: ShortKey(key),
            beat,
            version,
            revision,
            in_progress: figures as u16,
            fetched_permille: (figures >> 16) as u16,
        };
    GossipPacket {
        records: message.records.into_iter().filter_map(|one| decode_record(one).ok()).collect(),
        beats: keyed_beats.zip(beat_fields).map(beat).collect(),
        wants: message.wants.into_iter().map(ShortKey).collect(),
    }
}

/// Encodes a swarm note.
pub fn encode_note(note: &SwarmNote) -> wire::SwarmNote {
    use wire::swarm_note::Note;
    let note = match note {
        SwarmNote::Have(chunks) => {
            Note::Have(wire::ChunkList { chunks: chunks.iter().map(|chunk| chunk.0).collect() })
        }
        SwarmNote::Bitfield(field) => Note::Field(field.to_bytes().into()),
        SwarmNote::Ticket(ticket) => Note::Ticket(encode_ticket(*ticket)),
        SwarmNote::TicketReceived(ticket) => Note::Took(encode_ticket(*ticket)),
        SwarmNote::Offer(chunk) => Note::Offer(chunk.0),
        SwarmNote::Seek(chunk) => Note::Seek(chunk.0),
    };
    wire::SwarmNote { note: Some(note) }
}

fn encode_ticket(ticket: DrawTicket) -> wire::DrawTicket {
    wire::DrawTicket {
        position: ticket.chunk.0,
        store: ticket.pool == DrawPool::Store,
        lane: ticket.lane,
    }
}

fn decode_ticket(message: &wire::DrawTicket, chunks: u32) -> Result<DrawTicket, DecodeError> {
    let chunk = ChunkIndex(message.position);
    let pool = if message.store { DrawPool::Store } else { DrawPool::Origin };
    (chunk.0 < chunks)
        .then_some(DrawTicket { chunk, pool, lane: message.lane })
        .ok_or(invalid("ticket"))
}

/// Decodes a swarm note and validates its chunk indices against a manifest of `chunks` chunks.
pub fn decode_note(message: wire::SwarmNote, chunks: u32) -> Result<SwarmNote, DecodeError> {
    use wire::swarm_note::Note;
    let checked =
        |chunk: u32| (chunk < chunks).then_some(ChunkIndex(chunk)).ok_or(invalid("chunk"));
    Ok(match message.note.ok_or(invalid("note"))? {
        Note::Have(list) => {
            SwarmNote::Have(list.chunks.into_iter().map(checked).collect::<Result<_, _>>()?)
        }
        Note::Field(field) => SwarmNote::Bitfield(ChunkSet::from_bytes(chunks, &field)),
        Note::Ticket(ticket) => SwarmNote::Ticket(decode_ticket(&ticket, chunks)?),
        Note::Took(ticket) => SwarmNote::TicketReceived(decode_ticket(&ticket, chunks)?),
        Note::Offer(chunk) => SwarmNote::Offer(checked(chunk)?),
        Note::Seek(chunk) => SwarmNote::Seek(checked(chunk)?),
    })
}

/// Encodes a verdict.
pub fn encode_verdict(verdict: RunVerdict) -> wire::Verdict {
    match verdict {
        RunVerdict::Ran => wire::Verdict::Ran,
        RunVerdict::NotRun => wire::Verdict::NotRun,
        RunVerdict::MayHaveRun => wire::Verdict::MayHaveRun,
    }
}

/// Decodes a verdict; an unspecified one is treated as may have run.
pub fn decode_verdict(verdict: wire::Verdict) -> RunVerdict {
    match verdict {
        wire::Verdict::Ran => RunVerdict::Ran,
        wire::Verdict::NotRun => RunVerdict::NotRun,
        wire::Verdict::MayHaveRun | wire::Verdict::Unspecified => RunVerdict::MayHaveRun,
    }
}
