//! The model that the demo spreads: made-up bytes, or the files of a folder.

use std::path::PathBuf;

use bytes::Bytes;
use error_stack::Report;
use headlatch_standins::weights::WeightServer;
use headlatch_types::{
    FleetPlan, Manifest,
    fleet::SetKey,
    manifest::{MANIFEST_FILE, ManifestBuilder},
    quantity::ByteSize,
};
use rand::{RngCore, SeedableRng, rngs::SmallRng};
use serde_json::json;

use super::cluster::DOMAINS;
use crate::{cli::DemoArgs, commands::manifest, error::ClientError};

/// The model's name.
pub const MODEL: &str = "demo";

/// The file that the second version of a folder has besides.
const EXTRA_FILE: &str = "headlatch-demo-version-2.txt";

/// Files of the made-up model.
const MADE_UP_FILES: u64 = 4;

/// One file of a version.
#[derive(Debug, Clone)]
enum ModelFile {
    Made { path: String, data: Bytes },
    Found { path: String, file: PathBuf },
}

/// One version.
#[derive(Debug, Clone)]
pub struct DemoVersion {
    files: Vec<ModelFile>,
    /// The manifest's text.
    text: Bytes,
    /// The manifest.
    pub manifest: Manifest,
}

/// Two versions of one model.
#[derive(Debug)]
pub struct DemoModel {
    versions: [DemoVersion; 2],
    boxes: u32,
}

impl DemoModel {
    /// The model that the options ask for.
    pub fn new(args: &DemoArgs) -> Result<Self, Report<ClientError>> {
        let versions = match &args.weights {
            Some(folder) => found_versions(folder, args.chunk)?,
            None => made_up_versions(args.size, args.chunk)?,
        };
        Ok(Self { versions, boxes: args.boxes })
    }

    /// A version, 1 or 2.
    pub fn version(&self, version: u32) -> &DemoVersion {
        &self.versions[version as usize - 1]
    }

    /// Size of the first version.
    pub fn size(&self) -> ByteSize {
        self.versions[0].manifest.total()
    }

    /// Offers both versions at an origin or store.
    pub fn offer(&self, server: &WeightServer) {
        for (version, number) in self.versions.iter().zip(1..) {
            let folder = format!("{MODEL}/{number}");
            server.put(&format!("{folder}/{MANIFEST_FILE}"), version.text.clone());
            for file in &version.files {
                match file {
                    ModelFile::Made { path, data } => {
                        server.put(&format!("{folder}/{path}"), data.clone());
                    }
                    ModelFile::Found { path, file } => {
                        server.put_file(&format!("{folder}/{path}"), file.clone());
                    }
                }
            }
        }
    }

    /// The fleet file that runs `version` on every box.
    pub fn fleet_file(&self, args: &DemoArgs, version: u32) -> String {
        let replicas: serde_json::Map<String, serde_json::Value> = DOMAINS
            .iter()
            .zip(0u32..)
            .map(|(name, nth)| ((*name).to_owned(), json!(self.boxes_in(nth))))
            .filter(|(_, count)| *count != json!(0))
            .collect();
        let keep: serde_json::Map<String, serde_json::Value> = replicas
            .iter()
            .map(|(name, count)| (name.clone(), json!(count.as_u64().unwrap_or(0) / 2)))
            .collect();
        let fleet = json!({
            "models": [{
                "name": MODEL,
                "version": version.to_string(),
                "manifest": self.version(version).manifest.digest(),
                "replicas": replicas,
                "keep_serving": keep,
            }],
            "services": [{
                "name": "board",
                "prefix": "/board",
                "not_repeatable": [{ "method": "POST", "path": "/notices" }],
            }],
            "burst": { "prefer": args.prefer },
        });
        fleet.to_string()
    }

    /// Boxes in the domain of a number.
    pub fn boxes_in(&self, domain: u32) -> u32 {
        let domains = DOMAINS.len() as u32;
        self.boxes / domains + u32::from(domain < self.boxes % domains)
    }

    /// Key of a version's set.
    pub fn set_key(&self, version: u32) -> SetKey {
        let digest = self.version(version).manifest.digest();
        let fleet = json!({
            "models": [{
                "name": MODEL,
                "version": version.to_string(),
                "manifest": digest,
                "replicas": { "any": 1 },
            }],
        });
        let plan = FleetPlan::parse(&fleet.to_string()).expect("the demo's fleet file is good");
        plan.models[0].set_key()
    }
}

fn finish(files: Vec<ModelFile>, text: Vec<u8>) -> Result<DemoVersion, Report<ClientError>> {
    let manifest = Manifest::parse(&text)
        .map_err(|error| Report::new(ClientError::Input(format!("the weights: {error}"))))?;
    Ok(DemoVersion { files, text: Bytes::from(text), manifest })
}

fn made_up_versions(
    size: ByteSize,
    chunk: ByteSize,
) -> Result<[DemoVersion; 2], Report<ClientError>> {
    let mut rng = SmallRng::seed_from_u64(1);
    let part = (size.bytes() / MADE_UP_FILES).max(1);
    let mut files = Vec::new();
    for nth in 0..MADE_UP_FILES {
        let mut data = vec![0; part as usize];
        rng.fill_bytes(&mut data);
        files.push((format!("part-{nth}.bin"), data));
    }
    let first = made_up_version(&files, chunk)?;
    // The second half is new, so that the second burst has to move half of the chunks.
    let half = files.len() / 2;
    for (_, data) in &mut files[half..] {
        rng.fill_bytes(data);
    }
    Ok([first, made_up_version(&files, chunk)?])
}

fn made_up_version(
    files: &[(String, Vec<u8>)],
    chunk: ByteSize,
) -> Result<DemoVersion, Report<ClientError>> {
    let mut builder = ManifestBuilder::new(chunk);
    files.iter().for_each(|(path, data)| builder.add(path, data));
    let made = files.iter().map(|(path, data)| ModelFile::Made {
        path: path.clone(),
        data: Bytes::from(data.clone()),
    });
    finish(made.collect(), builder.finish())
}

fn found_versions(
    folder: &std::path::Path,
    chunk: ByteSize,
) -> Result<[DemoVersion; 2], Report<ClientError>> {
    let paths = manifest::list(folder)?;
    let mut files = Vec::new();
    for file in paths {
        files.push(ModelFile::Found { path: manifest::relative(folder, &file)?, file });
    }
    let text = manifest::build(folder, chunk)?;
    let first = finish(files.clone(), text)?;
    let note = Bytes::from_static(b"This file is what the demo's second version has besides.\n");
    let mut builder = ManifestBuilder::new(chunk);
    first.manifest.files().iter().for_each(|entry| builder.push(entry.clone()));
    builder.add(EXTRA_FILE, &note);
    files.push(ModelFile::Made { path: EXTRA_FILE.to_owned(), data: note });
    let second = finish(files, builder.finish())?;
    Ok([first, second])
}
