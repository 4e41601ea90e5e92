//! `headlatch manifest`: hashes a folder of weights.

use std::{
    fs::{self, File},
    io::Read,
    path::{Path, PathBuf},
    process::ExitCode,
};

use error_stack::{Report, ResultExt};
use headlatch_types::{
    Digest, Manifest,
    manifest::{FileEntry, MANIFEST_FILE, ManifestBuilder},
    quantity::ByteSize,
};

use crate::{cli::ManifestArgs, error::ClientError};

/// Writes the manifest of a folder beside its files and prints its digest.
pub fn run(args: &ManifestArgs) -> Result<ExitCode, Report<ClientError>> {
    let text = build(&args.folder, args.chunk)?;
    let path = args.folder.join(MANIFEST_FILE);
    let failure = || ClientError::Local(format!("{} cannot be written", path.display()));
    fs::write(&path, &text).change_context_lazy(failure)?;
    let manifest = Manifest::parse(&text).map_err(|error| {
        Report::new(ClientError::Input(format!("{}: {error}", args.folder.display())))
    })?;
    println!("{}", path.display());
    println!("  files   {}", manifest.files().len());
    println!("  chunks  {}", manifest.chunks().len());
    println!("  total   {}", manifest.total());
    println!("  digest  {}", manifest.digest());
    Ok(ExitCode::SUCCESS)
}

/// Builds the manifest of a folder.
pub fn build(folder: &Path, chunk: ByteSize) -> Result<Vec<u8>, Report<ClientError>> {
    if chunk.bytes() == 0 {
        let message = "a chunk of 0B holds nothing; give --chunk 1B or more";
        return Err(Report::new(ClientError::Input(message.to_owned())));
    }
    let mut builder = ManifestBuilder::new(chunk);
    for path in list(folder)? {
        let entry = hash_file(folder, &path, builder.chunk_bytes())?;
        builder.push(entry);
    }
    Ok(builder.finish())
}

/// The files below a folder, but for a manifest written earlier.
pub fn list(folder: &Path) -> Result<Vec<PathBuf>, Report<ClientError>> {
    let failure = |path: &Path| ClientError::Input(format!("{} cannot be read", path.display()));
    let mut files = Vec::new();
    let mut folders = vec![folder.to_owned()];
    while let Some(next) = folders.pop() {
        for entry in fs::read_dir(&next).change_context_lazy(|| failure(&next))? {
            let path = entry.change_context_lazy(|| failure(&next))?.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.file_name().is_some_and(|name| name != MANIFEST_FILE) {
                files.push(path);
            }
        }
    }
    files.sort();
    Ok(files)
}

/// The path of `file` below `folder`, as manifests write it.
pub fn relative(folder: &Path, file: &Path) -> Result<String, Report<ClientError>> {
    let below = file.strip_prefix(folder).unwrap_or(file);
    let parts: Option<Vec<&str>> = below.iter().map(|part| part.to_str()).collect();
    let failure =
        || ClientError::Input(format!("{} is not a UTF-8 name; rename it", file.display()));
    parts.map(|parts| parts.join("/")).ok_or_else(|| Report::new(failure()))
}

fn hash_file(folder: &Path, path: &Path, chunk: u64) -> Result<FileEntry, Report<ClientError>> {
    let failure = || ClientError::Input(format!("{} cannot be read", path.display()));
    let mut file = File::open(path).change_context_lazy(failure)?;
    let mut entry = FileEntry { path: relative(folder, path)?, bytes: 0, chunks: Vec::new() };
    loop {
        let mut data = Vec::new();
        let read = file.by_ref().take(chunk).read_to_end(&mut data).change_context_lazy(failure)?;
        if read == 0 {
            return Ok(entry);
        }
        entry.bytes += read as u64;
        entry.chunks.push(Digest::of(&data));
    }
}
