//! Manifests: the files of a version and the chunks of each file.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::{
    digest::{Digest, DigestKind},
    quantity::ByteSize,
    reading::{InputError, from_json},
};

/// Name of the manifest beside the files at an origin or weight store.
pub const MANIFEST_FILE: &str = "headlatch-manifest.json";

/// Largest accepted manifest, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 16 << 20;

/// Largest chunk allowed, in bytes.
pub const MAX_CHUNK_BYTES: u64 = 64 << 20;

/// Position of a chunk in its manifest, counted over all files in order.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
pub struct ChunkIndex(pub u32);

impl std::fmt::Display for ChunkIndex {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One file as written in a manifest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileEntry {
    /// Path below the version's folder, with `/` between parts.
    pub path: String,
    /// Size in bytes; 0 for an empty file.
    pub bytes: u64,
    /// BLAKE3 digests of its chunks in order; none for an empty file.
    pub chunks: Vec<Digest>,
}

/// A manifest as written in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawManifest {
    /// Size of every chunk but the last of a file, in bytes.
    pub chunk_bytes: u64,
    /// The files, sorted by path.
    pub files: Vec<FileEntry>,
}

/// One chunk: its digest and its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkLocation {
    /// Digest of the bytes.
    pub digest: Digest,
    /// Index of its file in [`Manifest::files`].
    pub file: usize,
    /// Offset within the file, in bytes.
    pub offset: u64,
    /// Length in bytes, at least 1.
    pub length: u64,
}

/// A checked manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    digest: Digest,
    files: Vec<FileEntry>,
    chunks: Vec<ChunkLocation>,
    total: ByteSize,
    kind: DigestKind,
}

impl Manifest {
    /// Reads a manifest and checks it against the digest that the fleet file names.
    pub fn verify(text: &[u8], expected: Digest) -> Result<Self, InputError> {
        let digest = Digest::of(text);
        if digest != expected {
            let message = format!("the manifest has digest {digest}, but {expected} was asked for");
            return Err(InputError::new("", message));
        }
        Self::parse(text)
    }

    /// Reads a manifest without checking it against an expected digest.
    pub fn parse(text: &[u8]) -> Result<Self, InputError> {
        let plain = std::str::from_utf8(text)
            .map_err(|_| InputError::new("", "the manifest is not UTF-8 text"))?;
        let raw: RawManifest = from_json(plain)?;
        check_files(&raw)?;
        let chunks = locate_chunks(&raw)?;
        let total = ByteSize::from_bytes(raw.files.iter().map(|file| file.bytes).sum());
        let kind = DigestKind::Blake3;
        Ok(Self { digest: Digest::of(text), files: raw.files, chunks, total, kind })
    }

    /// The manifest of weights that are published as pieces of equal size with SHA-256 digests.
    /// `name` is part of the manifest's digest, so versions with the same pieces have different digests.
    pub fn from_pieces(name: &str, piece_bytes: u64, digests: Vec<Digest>) -> Self {
        let mut text = name.as_bytes().to_vec();
        digests.iter().for_each(|digest| text.extend_from_slice(digest.as_bytes()));
        let bytes = piece_bytes * digests.len() as u64;
        let places = digests.iter().zip(0u64..).map(|(digest, nth)| {
            let offset = nth * piece_bytes;
            ChunkLocation { digest: *digest, file: 0, offset, length: piece_bytes }
        });
        let chunks = places.collect();
        let files = vec![FileEntry { path: name.to_owned(), bytes, chunks: digests }];
        let (digest, total) = (Digest::of(&text), ByteSize::from_bytes(bytes));
        Self { digest, files, chunks, total, kind: DigestKind::Sha256 }
    }

    /// Hash function of the chunk digests.
    pub fn kind(&self) -> DigestKind {
        self.kind
    }

    /// Digest of the manifest's own text.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The files, sorted by path.
    pub fn files(&self) -> &[FileEntry] {
        &self.files
    }

    /// Every chunk in order.
    pub fn chunks(&self) -> &[ChunkLocation] {
        &self.chunks
    }

    /// The chunk at `index`, if there is one.
    pub fn chunk(&self, index: ChunkIndex) -> Option<&ChunkLocation> {
        self.chunks.get(index.0 as usize)
    }

    /// Size of all files together.
    pub fn total(&self) -> ByteSize {
        self.total
    }
}

fn check_files(raw: &RawManifest) -> Result<(), InputError> {
    if raw.chunk_bytes == 0 || raw.chunk_bytes > MAX_CHUNK_BYTES {
        let message =
            format!("{} is not a chunk size; give 1 to {MAX_CHUNK_BYTES}", raw.chunk_bytes);
        return Err(InputError::new("chunk_bytes", message));
    }
    let mut seen = HashSet::new();
    for (at, file) in raw.files.iter().enumerate() {
        let path = format!("files[{at}].path");
        if !is_relative(&file.path) {
            let message = format!("\"{}\" is not a path below the version's folder", file.path);
            return Err(InputError::new(path, message));
        }
        if !seen.insert(&file.path) {
            return Err(InputError::new(path, format!("\"{}\" occurs twice", file.path)));
        }
    }
    Ok(())
}

fn is_relative(path: &str) -> bool {
    let part_is_plain =
        |part: &str| !part.is_empty() && part != "." && part != ".." && !part.contains('\\');
    path.len() <= 1024 && !path.contains('\0') && path.split('/').all(part_is_plain)
}

fn locate_chunks(raw: &RawManifest) -> Result<Vec<ChunkLocation>, InputError> {
    let mut places = Vec::new();
    for (at, file) in raw.files.iter().enumerate() {
        let due = file.bytes.div_ceil(raw.chunk_bytes);
        if due != file.chunks.len() as u64 {
            let message = format!(
                "{} bytes make {due} chunks, but {} are listed",
                file.bytes,
                file.chunks.len()
            );
            return Err(InputError::new(format!("files[{at}].chunks"), message));
        }
        places.extend(file.chunks.iter().zip(0u64..).map(|(digest, nth)| {
            let offset = nth * raw.chunk_bytes;
            let length = raw.chunk_bytes.min(file.bytes - offset);
            ChunkLocation { digest: *digest, file: at, offset, length }
        }));
    }
    if places.len() > u32::MAX as usize {
        return Err(InputError::new("files", "there are too many chunks; use a larger chunk size"));
    }
    Ok(places)
}

/// Builds a manifest file by file.
#[derive(Debug)]
pub struct ManifestBuilder {
    raw: RawManifest,
}

impl ManifestBuilder {
    /// A builder with chunks of `chunk` bytes.
    pub fn new(chunk: ByteSize) -> Self {
        let chunk_bytes = chunk.bytes().clamp(1, MAX_CHUNK_BYTES);
        Self { raw: RawManifest { chunk_bytes, files: Vec::new() } }
    }

    /// Size of a chunk in bytes.
    pub fn chunk_bytes(&self) -> u64 {
        self.raw.chunk_bytes
    }

    /// Adds a file whose chunks have been hashed already.
    pub fn push(&mut self, entry: FileEntry) {
        self.raw.files.push(entry);
    }

    /// Adds a file held in memory.
    pub fn add(&mut self, path: &str, data: &[u8]) {
        let chunks = data.chunks(self.raw.chunk_bytes as usize).map(Digest::of).collect();
        self.push(FileEntry { path: path.to_owned(), bytes: data.len() as u64, chunks });
    }

    /// The manifest's text; its digest is what a fleet file names.
    pub fn finish(mut self) -> Vec<u8> {
        self.raw.files.sort_by(|a, b| a.path.cmp(&b.path));
        serde_json::to_vec(&self.raw).expect("a manifest has only string keys")
    }
}
