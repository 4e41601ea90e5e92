//! HTTP shells of headlatch: a server that drains and limits, a client that tells what ran.

pub mod client;
pub mod connections;
pub mod pace;
pub mod server;
pub mod stall;
pub mod stop;

pub use client::{CallError, HttpCaller};
pub use connections::{
    ActiveConnection, CallRequest, CallResponse, ConnectionChoice, Connections, ExchangeError,
};
pub use server::{BodyError, HttpLimits, HttpServer, read_body};
pub use stop::{StopHandle, StopSignal};
