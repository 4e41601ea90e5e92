//! Options of the routing bench.

use clap::{Args, ValueEnum};

/// How endpoints are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum RoutingPolicy {
    /// As the entries do
    #[default]
    Headlatch,
    /// Any endpoint
    Random,
    /// One after the other
    RoundRobin,
    /// The one that last reported the least load
    LeastReported,
}

/// A fault of the routing bench.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum RoutingFault {
    /// 5 % of the endpoints die at a third of the run
    Deaths,
    /// One failure domain of endpoints dies at a third of the run
    DomainLoss,
    /// 5 % of the endpoints run at a fifth of their speed from a third of the run on
    Slow,
    /// One answer in a hundred is lost after the request ran
    LostAnswers,
    /// Reports of load are 10 s older
    Lag,
    /// 5 % of the endpoints begin to leave at a third of the run, and entries hear of it 10 s later
    Leaving,
}

/// Options of the routing bench.
#[derive(Debug, Clone, Args)]
pub struct RoutingOptions {
    /// Entries
    #[arg(long, default_value_t = 400)]
    pub entries: usize,
    /// Endpoints
    #[arg(long, default_value_t = 720)]
    pub endpoints: usize,
    /// Failure domains
    #[arg(long, default_value_t = 6)]
    pub domains: usize,
    /// Requests a second
    #[arg(long, default_value_t = 2500.0)]
    pub rps: f64,
    /// Length of the run, in seconds
    #[arg(long, default_value_t = 90)]
    pub seconds: u64,
    /// Load of the endpoints at 1 times the demand, in percent of their slots
    #[arg(long, default_value_t = 70)]
    pub load_percent: u32,
    /// How many times the usual demand comes
    #[arg(long, default_value_t = 1.0)]
    pub demand: f64,
    /// How endpoints are chosen
    #[arg(long, value_enum, default_value = "headlatch")]
    pub policy: RoutingPolicy,
    /// Faults, separated by commas
    #[arg(long, value_delimiter = ',', value_enum)]
    pub faults: Vec<RoutingFault>,
    /// Seed of every random choice
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print one line of JSON
    #[arg(long)]
    pub json: bool,
}
