//! Sets of chunks.

use headlatch_types::ChunkIndex;

const WORD_BITS: u32 = 64;

/// A set of the chunks of one manifest, stored as a bitfield.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChunkSet {
    words: Vec<u64>,
    chunks: u32,
    count: u32,
}

impl ChunkSet {
    /// An empty set for a manifest of `chunks` chunks.
    pub fn new(chunks: u32) -> Self {
        Self { words: vec![0; chunks.div_ceil(WORD_BITS) as usize], chunks, count: 0 }
    }

    /// A set that contains every chunk.
    pub fn full(chunks: u32) -> Self {
        let mut set = Self::new(chunks);
        (0..chunks).for_each(|chunk| {
            set.insert(ChunkIndex(chunk));
        });
        set
    }

    /// Parses a bitfield with 8 chunks per byte; bits past the last chunk are ignored.
    pub fn from_bytes(chunks: u32, bytes: &[u8]) -> Self {
        let mut set = Self::new(chunks);
        let is_set = |chunk: &u32| {
            bytes.get((chunk / 8) as usize).is_some_and(|byte| byte & (1 << (chunk % 8)) != 0)
        };
        (0..chunks).filter(is_set).for_each(|chunk| {
            set.insert(ChunkIndex(chunk));
        });
        set
    }

    /// Encodes the set as a bitfield with 8 chunks per byte.
    pub fn to_bytes(&self) -> Vec<u8> {
        let bytes = self.words.iter().flat_map(|word| word.to_le_bytes());
        bytes.take(self.chunks.div_ceil(8) as usize).collect()
    }

    /// Adds a chunk; `false` if it was present or is out of range.
    pub fn insert(&mut self, chunk: ChunkIndex) -> bool {
        if chunk.0 >= self.chunks || self.contains(chunk) {
            return false;
        }
        self.words[(chunk.0 / WORD_BITS) as usize] |= 1 << (chunk.0 % WORD_BITS);
        self.count += 1;
        true
    }

    /// Removes a chunk; `false` if it was not present.
    pub fn remove(&mut self, chunk: ChunkIndex) -> bool {
        if !self.contains(chunk) {
            return false;
        }
        self.words[(chunk.0 / WORD_BITS) as usize] &= !(1 << (chunk.0 % WORD_BITS));
        self.count -= 1;
        true
    }

    /// Whether the chunk is in the set.
    pub fn contains(&self, chunk: ChunkIndex) -> bool {
        let word = self.words.get((chunk.0 / WORD_BITS) as usize).copied().unwrap_or(0);
        chunk.0 < self.chunks && word & (1 << (chunk.0 % WORD_BITS)) != 0
    }

    /// Number of chunks in the set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Memory use of the bitfield in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.words.len() * size_of::<u64>()
    }

    /// Whether the set contains every chunk of the manifest.
    pub fn is_full(&self) -> bool {
        self.count == self.chunks
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Number of chunks in the manifest.
    pub fn chunks(&self) -> u32 {
        self.chunks
    }

    /// The chunks in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = ChunkIndex> + '_ {
        self.words.iter().zip(0u32..).flat_map(|(word, nth)| bits(*word, nth * WORD_BITS))
    }

    /// The chunks that are in `union` but not in this set, in ascending order.
    pub fn missing_in<'a>(&'a self, union: &'a [u64]) -> impl Iterator<Item = ChunkIndex> + 'a {
        let pairs = self.words.iter().zip(union).zip(0u32..);
        pairs.flat_map(|((held, there), nth)| bits(there & !held, nth * WORD_BITS))
    }

    /// Adds every chunk of this set to the words of a bitfield.
    pub fn add_to(&self, union: &mut Vec<u64>) {
        union.resize(self.words.len(), 0);
        union.iter_mut().zip(&self.words).for_each(|(there, word)| *there |= word);
    }
}

fn bits(mut word: u64, base: u32) -> impl Iterator<Item = ChunkIndex> {
    std::iter::from_fn(move || {
        if word == 0 {
            return None;
        }
        let bit = word.trailing_zeros();
        word &= word - 1;
        Some(ChunkIndex(base + bit))
    })
}
