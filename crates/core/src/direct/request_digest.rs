//! What makes two requests the same, whatever their ids, deadlines and traces.

pub use headlatch_types::request::RequestDigest;

/// What a request is told by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// Who asks: the name of the organisation, or none where no key is needed.
    pub caller: Option<&'a str>,
    /// Method.
    pub method: &'a str,
    /// Host.
    pub host: &'a str,
    /// Path.
    pub path: &'a str,
    /// Query, without its question mark.
    pub query: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
}

/// The two digests of a request. A caller may add something to the query that changes from one
/// sending to the next, so that only what is before it tells that the content is the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDigests {
    /// Of everything.
    pub whole: RequestDigest,
    /// Of everything but the query.
    pub without_query: RequestDigest,
}

impl RequestDigests {
    /// Both digests of a request.
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

    /// Both, or the one if there is no query.
    pub fn iter(&self) -> impl Iterator<Item = RequestDigest> {
        let whole = (self.whole != self.without_query).then_some(self.whole);
        [self.without_query].into_iter().chain(whole)
    }
}

/// Adds a part with its length, so that parts cannot run into each other; an absent one differs from
/// an empty one.
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
