//! Content digests that identify equal requests regardless of ids, deadlines and trace headers.

pub use headlatch_types::request::RequestDigest;
use headlatch_types::request::{PartKey, PromptPart};

/// The parts of a request that its digest covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// Name of the calling organisation; `None` if no key is required.
    pub caller: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Host name.
    pub host: &'a str,
    /// URL path.
    pub path: &'a str,
    /// Query string without the question mark.
    pub query: Option<&'a str>,
    /// Request body.
    pub body: &'a [u8],
}

/// Two digests of a request. Callers may add a query parameter that changes with every attempt, so
/// that only the digest without the query identifies equal content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDigests {
    /// Digest of all parts.
    pub whole: RequestDigest,
    /// Digest of all parts except the query.
    pub without_query: RequestDigest,
}

impl RequestDigests {
    /// Computes both digests of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        hash_part(&mut hasher, content.caller.map(str::as_bytes));
        let parts = [content.method, content.host, content.path].map(str::as_bytes);
        parts.into_iter().for_each(|part| hash_part(&mut hasher, Some(part)));
        hash_part(&mut hasher, Some(content.body));
        let without_query = truncated_digest(&hasher);
        hash_part(&mut hasher, content.query.map(str::as_bytes));
        let whole = if content.query.is_some() { truncated_digest(&hasher) } else { without_query };
        Self { whole, without_query }
    }

    /// The distinct digests: a request without a query has only one.
    pub fn iter(&self) -> impl Iterator<Item = RequestDigest> {
        let whole = (self.whole != self.without_query).then_some(self.whole);
        [self.without_query].into_iter().chain(whole)
    }
}

/// Everything by which a request may be quarantined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Digests of its content.
    pub digests: RequestDigests,
    /// The parts of its prompt that other requests may have as well.
    pub parts: Vec<PartKey>,
}

impl RequestIdentity {
    /// The identity of a request for `model` with these contents.
    pub fn new(content: &RequestContent<'_>, model: Option<&str>, parts: &[PromptPart]) -> Self {
        let parts = parts.iter().map(|part| PartKey::of(model, *part)).collect();
        Self { digests: RequestDigests::of(content), parts }
    }
}

/// Hashes a part preceded by its length, so that adjacent parts cannot be confused; an absent part
/// differs from an empty one.
fn hash_part(hasher: &mut blake3::Hasher, part: Option<&[u8]>) {
    let length = part.map_or(u64::MAX, |part| part.len() as u64);
    hasher.update(&length.to_le_bytes());
    hasher.update(part.unwrap_or_default());
}

fn truncated_digest(hasher: &blake3::Hasher) -> RequestDigest {
    let hash = hasher.finalize();
    let (first, _) = hash.as_bytes().split_first_chunk().expect("a hash has 32 bytes");
    RequestDigest(u64::from_be_bytes(*first))
}
