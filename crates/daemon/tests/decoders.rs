//! Decoders of messages from other nodes: no input may cause a panic.

use headlatch_core::burst::{ChunkSet, DrawPool, DrawTicket, SwarmNote};
use headlatch_daemon::node::codec;
use headlatch_types::ChunkIndex;
use headlatch_wire as wire;
use proptest::prelude::*;
use prost::Message;

fn note() -> impl Strategy<Value = SwarmNote> {
    let chunk = || (0u32..100).prop_map(ChunkIndex);
    let ticket = (chunk(), any::<bool>(), any::<u32>()).prop_map(|(chunk, store, lane)| {
        DrawTicket { chunk, pool: if store { DrawPool::Store } else { DrawPool::Origin }, lane }
    });
    prop_oneof![
        prop::collection::vec(chunk(), 0..20).prop_map(SwarmNote::Have),
        prop::collection::vec(any::<u8>(), 0..13)
            .prop_map(|bytes| SwarmNote::Bitfield(ChunkSet::from_bytes(100, &bytes))),
        ticket.clone().prop_map(SwarmNote::Ticket),
        ticket.prop_map(SwarmNote::TicketReceived),
        chunk().prop_map(SwarmNote::Offer),
        chunk().prop_map(SwarmNote::Seek),
    ]
}

proptest! {
    #[test]
    fn a_note_reads_as_it_was_written(note in note()) {
        prop_assert_eq!(codec::decode_note(codec::encode_note(&note), 100).unwrap(), note);
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300), chunks in 0u32..50) {
        if let Ok(packet) = wire::GossipPacket::decode(&*bytes) {
            codec::decode_packet(packet);
        }
        if let Ok(notes) = wire::SwarmNotes::decode(&*bytes) {
            for note in notes.notes {
                let _ = codec::decode_note(note, chunks);
            }
        }
    }

    #[test]
    fn a_note_about_a_chunk_that_does_not_exist_is_refused(chunk in 100u32..) {
        let offer = codec::encode_note(&SwarmNote::Offer(ChunkIndex(chunk)));
        prop_assert!(codec::decode_note(offer, 100).is_err());
        let have = codec::encode_note(&SwarmNote::Have(vec![ChunkIndex(chunk)]));
        prop_assert!(codec::decode_note(have, 100).is_err());
    }
}
