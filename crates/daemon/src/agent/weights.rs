//! Serves the files of completely transferred weights to the engine.

use std::sync::Arc;

use bytes::Bytes;
use headlatch_types::Digest;
use http::{StatusCode, Uri};
use http_body::Frame;
use percent_encoding::percent_decode_str;
use volo_http::{
    body::Body,
    error::BoxError,
    response::Response,
    server::{Router, route::get},
};

use super::{chunk_cache::ChunkCache, registry::SwarmRegistry};
use crate::node::admin::text;

/// Adds `/weights/{manifest}/{path}` to a router.
pub fn add_routes(
    router: Router,
    registry: &Arc<SwarmRegistry>,
    chunk_cache: &Arc<ChunkCache>,
) -> Router {
    let (registry, chunk_cache) = (registry.clone(), chunk_cache.clone());
    router.route(
        "/weights/{manifest}/{*path}",
        get(move |uri: Uri| async move {
            read_file(&registry, &chunk_cache, &uri).unwrap_or_else(|| {
                text(
                    StatusCode::NOT_FOUND,
                    "file not found or not complete on this box\n".to_owned(),
                )
            })
        }),
    )
}

fn read_file(
    registry: &SwarmRegistry,
    chunk_cache: &Arc<ChunkCache>,
    uri: &Uri,
) -> Option<Response> {
    let rest = uri.path().strip_prefix("/weights/")?;
    let (digest, path) = rest.split_once('/')?;
    let digest: Digest = digest.parse().ok()?;
    let path = percent_decode_str(path).decode_utf8().ok()?;
    let handle = registry.get(&digest)?;
    let manifest = handle.manifest;
    let file = manifest.files().iter().position(|file| file.path == path)?;
    let chunks = manifest.chunks().iter().filter(|place| place.file == file);
    // All chunks are collected before the response starts, so that a file with a missing chunk
    // gives 404 instead of a truncated body.
    let data: Vec<Bytes> =
        chunks.map(|place| chunk_cache.get(&place.digest)).collect::<Option<_>>()?;
    let frames = data.into_iter().map(|chunk| Ok::<_, BoxError>(Frame::data(chunk)));
    Some(Response::new(Body::from_stream(futures_util::stream::iter(frames))))
}
