//! `headlatch shares`: which part of the requests was served, by route and size, from decision logs.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{Read, stdin},
    process::ExitCode,
};

use error_stack::Report;
use headlatch_core::direct::size_class::SizeClass;
use serde::{Deserialize, Serialize};

use crate::{
    cli::{SharesArgs, SizeMeasure},
    error::ClientError,
};

/// A line about a request.
#[derive(Debug, Deserialize)]
struct RequestLine {
    event: String,
    request: String,
    route: String,
    body_bytes: Option<u64>,
    prompt_tokens: Option<u64>,
    answer_tokens: Option<u64>,
    #[serde(default)]
    more: LineDetails,
}

/// What else such a line says.
#[derive(Debug, Default, Deserialize)]
struct LineDetails {
    first_event_ms: Option<u64>,
    objective_ms: Option<u64>,
}

/// What became of one request.
#[derive(Debug, Clone, Copy, Default)]
struct RequestFate {
    size: u64,
    served: bool,
    late: bool,
}

/// Requests counted, and those of them that were served.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct ServedCount {
    requests: usize,
    served: usize,
    late: usize,
}

/// The counts of one route.
#[derive(Debug, Default, Serialize)]
struct RouteShares {
    route: String,
    all: ServedCount,
    sizes: BTreeMap<&'static str, ServedCount>,
}

/// Tells served shares by route and size.
pub fn run(args: &SharesArgs) -> Result<ExitCode, Report<ClientError>> {
    let mut routes: HashMap<String, HashMap<String, RequestFate>> = HashMap::new();
    let mut take = |text: &str| {
        for line in lines_in(text) {
            note(&mut routes, &line, args.by);
        }
    };
    for path in &args.files {
        let text = fs::read_to_string(path).map_err(|error| {
            let message = format!("{}: cannot be read, {error}; check the path", path.display());
            Report::new(ClientError::Input(message))
        })?;
        take(&text);
    }
    if args.files.is_empty() {
        let mut text = String::new();
        stdin().read_to_string(&mut text).map_err(|error| {
            Report::new(ClientError::Input(format!("standard input cannot be read, {error}")))
        })?;
        take(&text);
    }
    let mut shares: Vec<RouteShares> = routes
        .into_iter()
        .map(|(route, fates)| route_shares(route, fates.into_values().collect()))
        .collect();
    if shares.is_empty() {
        let message = "no line tells of a request with its size; give decision logs of entries";
        return Err(Report::new(ClientError::Input(message.to_owned())));
    }
    shares.sort_by(|one, other| one.route.cmp(&other.route));
    if args.json {
        shares.iter().for_each(|route| println!("{}", serde_json::json!(route)));
    } else {
        print_table(&shares);
    }
    Ok(ExitCode::SUCCESS)
}

/// Lines about requests; whatever stands before the JSON of a line is left out.
fn lines_in(text: &str) -> impl Iterator<Item = RequestLine> {
    let lines = text.lines().filter(|line| line.contains("\"routing\""));
    let objects = lines.filter_map(|line| line.find('{').map(|at| &line[at..]));
    objects.filter_map(|object| serde_json::from_str(object).ok())
}

fn note(
    routes: &mut HashMap<String, HashMap<String, RequestFate>>,
    line: &RequestLine,
    measure: SizeMeasure,
) {
    let size = match measure {
        SizeMeasure::Body => line.body_bytes,
        SizeMeasure::Prompt => line.prompt_tokens,
        SizeMeasure::Answer => line.answer_tokens,
    };
    let Some(size) = size else { return };
    let fates = routes.entry(line.route.clone()).or_default();
    let fate = fates.entry(line.request.clone()).or_default();
    fate.size = size;
    if ["answered", "stream_ended"].contains(&line.event.as_str()) {
        fate.served = true;
        let first = line.more.first_event_ms.zip(line.more.objective_ms);
        fate.late = first.is_some_and(|(first, objective)| objective > 0 && first > objective);
    }
}

fn route_shares(route: String, mut fates: Vec<RequestFate>) -> RouteShares {
    fates.sort_by_key(|fate| fate.size);
    let mut shares = RouteShares { route, ..RouteShares::default() };
    for (index, fate) in fates.iter().enumerate() {
        let larger = (fates.len() - 1 - index) as f64 / fates.len() as f64;
        let class = SizeClass::from_share_above(larger).as_str();
        shares.all.add(fate);
        shares.sizes.entry(class).or_default().add(fate);
    }
    shares
}

impl ServedCount {
    fn add(&mut self, fate: &RequestFate) {
        self.requests += 1;
        self.served += usize::from(fate.served);
        self.late += usize::from(fate.late);
    }

    /// The served part; none of nothing is 0.
    fn share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

fn print_table(shares: &[RouteShares]) {
    let classes = SizeClass::ALL.map(SizeClass::as_str);
    let heads: Vec<String> = classes.iter().map(|class| format!("{class:>14}")).collect();
    println!("{:<24}{:>9}{:>8}{:>8}{}", "route", "requests", "served", "late", heads.concat());
    for route in shares {
        let counts = classes.map(|class| route.sizes.get(class).copied().unwrap_or_default());
        let sizes: Vec<String> = counts
            .iter()
            .map(|count| {
                let relative = count.share() / route.all.share().max(f64::MIN_POSITIVE);
                format!("{:>7.3} ({relative:.2})", count.share())
            })
            .collect();
        let late = route.all.late as f64 / route.all.requests.max(1) as f64;
        let (requests, served) = (route.all.requests, route.all.share());
        println!("{:<24}{requests:>9}{served:>8.3}{late:>8.3}{}", route.route, sizes.concat());
    }
}
