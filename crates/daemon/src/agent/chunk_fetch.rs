//! Fetches one chunk of a transfer and checks it against the manifest.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use headlatch_core::{
    burst::{ChunkSource, FetchFailure, SwarmEvent},
    time::Moment,
};
use headlatch_types::{ChunkIndex, Digest, Manifest};
use headlatch_wire::fetch_step::Step;
use serde_json::json;
use tokio::sync::mpsc;

use super::{
    fetch::{PeerFetchRequest, fetch_from_peer},
    swarm::{DriverInput, SwarmContext},
    swarm_progress::SwarmState,
};
use crate::decisions;

/// The fetch of one chunk from one source.
pub(super) struct ChunkFetch {
    pub(super) context: SwarmContext,
    pub(super) manifest: Arc<Manifest>,
    pub(super) chunk: ChunkIndex,
    pub(super) source: ChunkSource,
    pub(super) address: Option<SocketAddr>,
    pub(super) held: u32,
    pub(super) inputs: mpsc::Sender<DriverInput>,
    pub(super) state: Arc<SwarmState>,
}

impl ChunkFetch {
    /// Runs the fetch and reports its result to the driver.
    pub(super) async fn run(self, answers: mpsc::Receiver<Step>) {
        let (chunk, source) = (self.chunk, self.source);
        let started = self.context.node.now();
        let result = self.fetch_and_store(answers).await;
        if source == ChunkSource::Origin {
            self.state.count_origin_read(result.err());
            self.record_origin_read(started, result.err());
        }
        let event = match result {
            Ok(()) => SwarmEvent::Verified { chunk, source },
            Err(failure) => SwarmEvent::Failed { chunk, source, failure },
        };
        if let SwarmEvent::Failed { failure, .. } = &event {
            self.context.node.metrics.count_chunk_failure(failure_name(*failure));
        }
        // Sending fails if the driver has ended, and the result is then irrelevant.
        let _ = self.inputs.send(DriverInput::Event(event)).await;
    }

    /// Records the outcome of a chunk read from the origin. No single box sees how many of these
    /// reads a burst makes or how long each takes; the records of all boxes together show it.
    fn record_origin_read(&self, started: Moment, failure: Option<FetchFailure>) {
        let fields = json!({
            "chunk": self.chunk.0, "manifest": self.manifest.digest().to_string(),
            "took_ms": self.context.node.now().since(started).as_millis() as u64,
            "failure": failure.map(failure_name),
        });
        decisions::info("weights", "drawn", fields);
    }

    async fn fetch_and_store(&self, answers: mpsc::Receiver<Step>) -> Result<(), FetchFailure> {
        let place = self.manifest.chunk(self.chunk).ok_or(FetchFailure::Absent)?;
        let data = self.read(place.length as usize, answers).await?;
        let (bytes, kind) = (data.len() as u64, self.manifest.kind());
        match self.context.chunk_cache.put(kind, place.digest, data.clone()) {
            Some(Ok(())) => {
                self.state.bytes.fetch_add(bytes, Ordering::Relaxed);
                self.context.node.metrics.count_chunk(source_name(self.source), bytes);
                Ok(())
            }
            Some(Err(full)) => {
                log::error!("burst: chunk {} was discarded, {full}", self.chunk);
                Err(FetchFailure::Busy)
            }
            None => {
                let source = source_name(self.source);
                log::warn!("burst: chunk {} from {source} failed its hash", self.chunk);
                self.record_corrupt(place.digest, kind.of(&data));
                Err(FetchFailure::Corrupt)
            }
        }
    }

    /// Records bytes that do not match the manifest. The same bytes twice are evidence against it.
    fn record_corrupt(&self, listed: Digest, found: Digest) {
        if !self.state.record_corrupt(self.chunk, found) {
            return;
        }
        self.context.node.metrics.count_chunk_failure("corrupt_again");
        let fields = json!({
            "chunk": self.chunk.0, "manifest": self.manifest.digest().to_string(),
            "listed": listed.to_string(), "found": found.to_string(),
            "source": source_name(self.source),
        });
        decisions::warn("weights", "manifest_contradicted", fields);
    }

    async fn read(
        &self,
        length: usize,
        answers: mpsc::Receiver<Step>,
    ) -> Result<Bytes, FetchFailure> {
        let outside = match self.source {
            ChunkSource::Origin => self.context.origin.as_ref(),
            ChunkSource::Store => self.context.store.as_ref(),
            ChunkSource::Peer(_) => return self.read_from_peer(length, answers).await,
        };
        let outside = outside.ok_or(FetchFailure::Absent)?;
        outside.read(&self.manifest, self.chunk).await
    }

    async fn read_from_peer(
        &self,
        length: usize,
        answers: mpsc::Receiver<Step>,
    ) -> Result<Bytes, FetchFailure> {
        let request = PeerFetchRequest {
            address: self.address.ok_or(FetchFailure::Unreachable)?,
            manifest: self.manifest.digest(),
            chunk: self.chunk,
            length,
            box_id: self.context.node.settings.box_id.to_string(),
            held: self.held,
        };
        let (grants, mut granted) = mpsc::channel(1);
        let forward_grants = async {
            while granted.recv().await == Some(()) {
                let event = SwarmEvent::Granted { chunk: self.chunk, source: self.source };
                // Sending fails if the driver has ended, which aborts this task as well.
                let _ = self.inputs.send(DriverInput::Event(event)).await;
            }
        };
        let channels = &self.context.node.channels;
        let fetch = fetch_from_peer(channels, request, answers, grants, &self.context.downlink);
        let (fetched, ()) = tokio::join!(fetch, forward_grants);
        fetched
    }
}

fn source_name(source: ChunkSource) -> &'static str {
    match source {
        ChunkSource::Origin => "origin",
        ChunkSource::Store => "store",
        ChunkSource::Peer(_) => "peer",
    }
}

fn failure_name(failure: FetchFailure) -> &'static str {
    match failure {
        FetchFailure::Corrupt => "corrupt",
        FetchFailure::Busy => "busy",
        FetchFailure::Absent => "absent",
        FetchFailure::Unreachable => "unreachable",
    }
}
