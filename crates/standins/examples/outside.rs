//! The systems around headlatch as one process: platform, origin, store, engines, plain service.
//!
//! `cargo run --release --locked -p headlatch-standins --example outside -- DIR` serves the
//! versions below DIR (`DIR/name/version/…`, each with its manifest) from origin and store.

use std::{
    error::Error,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use clap::Parser;
use headlatch_standins::{
    RunningStandIn,
    engine::{Engine, EngineTempo},
    plain::NoticeBoard,
    platform::{Member, Platform},
    weights::{OverLimit, WeightServer},
};
use headlatch_types::quantity::ByteRate;

/// Stand in for the platform, origin, store, engines and a plain service.
#[derive(Debug, Parser)]
struct CommandLine {
    /// Folder with weights: a folder per model, in it a folder per version
    folder: PathBuf,
    /// First of the ports: platform, origin, store, plain service, then the engines
    #[arg(long, default_value_t = 7000)]
    port: u16,
    /// Engines
    #[arg(long, default_value_t = 3)]
    engines: u16,
    /// Rate of the origin's link
    #[arg(long, default_value = "32MiB/s")]
    origin_rate: ByteRate,
    /// Rate of the store's link
    #[arg(long, default_value = "8MiB/s")]
    store_rate: ByteRate,
    /// Members of the platform's list, as BOX,DOMAIN,REGION,KIND,ADDRESS
    #[arg(long)]
    member: Vec<String>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options = CommandLine::parse();
    let at = |nth: u16| SocketAddr::from(([127, 0, 0, 1], options.port + nth));
    let platform = Platform::new();
    for text in &options.member {
        platform.put_member(read_member(text)?);
    }
    let origin = WeightServer::new(options.origin_rate, OverLimit::Share);
    let store = WeightServer::new(options.store_rate, OverLimit::Refuse(2));
    let mut files = Vec::new();
    list(&options.folder, &mut files)?;
    for file in files {
        let path = file.strip_prefix(&options.folder)?.to_string_lossy().into_owned();
        origin.put_file(&path, file.clone());
        store.put_file(&path, file);
    }
    let board = NoticeBoard::new();
    let mut running = Vec::new();
    let routers = [
        ("platform", platform.router()),
        ("origin", origin.router()),
        ("store", store.router()),
        ("plain service", board.router()),
    ];
    for ((name, router), nth) in routers.into_iter().zip(0..) {
        running.push(RunningStandIn::start(at(nth), router).await?);
        println!("{name:<14} http://{}", at(nth));
    }
    for nth in 0..options.engines {
        let engine = Engine::new(EngineTempo::default());
        running.push(RunningStandIn::start(at(4 + nth), engine.router()).await?);
        println!("engine {nth:<7} http://{}", at(4 + nth));
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn read_member(text: &str) -> Result<Member, String> {
    let parts: Vec<&str> = text.split(',').collect();
    let [box_id, domain, region, kind, control] = parts[..] else {
        return Err(format!("--member {text}: write BOX,DOMAIN,REGION,KIND,ADDRESS"));
    };
    Ok(Member {
        box_id: box_id.to_owned(),
        domain: domain.to_owned(),
        region: region.to_owned(),
        kind: kind.to_owned(),
        control: control.to_owned(),
        leaving: false,
    })
}

fn list(folder: &Path, files: &mut Vec<PathBuf>) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() { list(&path, files)? } else { files.push(path) }
    }
    Ok(())
}
