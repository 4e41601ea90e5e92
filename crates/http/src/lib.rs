//! HTTP server and clients of headlatch: the server enforces limits and drains on shutdown, the clients report
//! whether a failed request may have run.

pub mod client;
pub mod connections;
pub mod pace;
pub mod progress;
pub mod receive_meter;
pub mod server;
pub mod stall;
mod status;
pub mod stop;
pub mod target;

pub use client::{CallError, HttpCaller};
pub use connections::{
    ActiveConnection, CallRequest, CallResponse, ConnectionChoice, Connections, ExchangeError,
    PoolLimits,
};
pub use receive_meter::ResponseBody;
pub use server::{BodyError, HttpLimits, HttpServer, read_body};
pub use stop::{StopHandle, StopSignal};
pub use target::CallTarget;
