//! The fleet file: which models and services run where. It is checked as a whole.

use std::collections::{BTreeMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{
    digest::{Digest, key_of},
    id::{AdapterName, DomainId, ModelName, OrganisationName, ServiceName, VersionName},
    reading::{InputError, from_json, parse_at},
    verdict::Repeatability,
};

/// Largest number of replicas of one model in one failure domain.
pub const MAX_REPLICAS: u32 = 10_000;

/// Largest fleet file, in bytes: the platform's value size limit less the size of the object's envelope.
pub const MAX_FLEET_BYTES: usize = 1_000_000;

/// A fleet file as written in JSON.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawFleet {
    /// Models to serve.
    #[serde(default)]
    pub models: Vec<RawModel>,
    /// Plain services to route to.
    #[serde(default)]
    pub services: Vec<RawService>,
    /// Organisations with their shares and limits.
    #[serde(default)]
    pub organisations: Vec<RawOrganisation>,
    /// Policy for the distribution of weights.
    #[serde(default)]
    pub burst: BurstPolicy,
}

/// A model as written in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawModel {
    /// Name that callers use.
    pub name: String,
    /// Version to run.
    pub version: String,
    /// Digest of the version's manifest.
    pub manifest: String,
    /// Folder at the origin and the store; `name/version` if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub location: Option<String>,
    /// Adapters loaded with it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<RawAdapter>,
    /// Role of its engines.
    #[serde(default)]
    pub role: EngineRole,
    /// Replicas per failure domain.
    pub replicas: BTreeMap<String, u32>,
    /// Replicas per failure domain that keep serving through a change of version.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub keep_serving: BTreeMap<String, u32>,
}

/// An adapter as written in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAdapter {
    /// Name that callers use, after the model's name and a colon.
    pub name: String,
    /// Version to run.
    pub version: String,
    /// Digest of the version's manifest.
    pub manifest: String,
    /// Folder at the origin and the store; `name/version` if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub location: Option<String>,
}

/// A plain service as written in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Name that agents of its endpoints give in their settings.
    pub name: String,
    /// Path prefix under which entries offer it, such as `/rolls`.
    pub prefix: String,
    /// Calls that must not run twice; any other POST or PATCH counts as one too.
    #[serde(default)]
    pub not_repeatable: Vec<CallPattern>,
    /// Calls that may run twice although their method is not idempotent.
    #[serde(default)]
    pub repeatable: Vec<CallPattern>,
}

/// A kind of call: a method and the beginning of a path below the prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// HTTP method, in capitals.
    pub method: String,
    /// Beginning of the path below the service's prefix, such as `/notices`.
    pub path: String,
}

/// An organisation as written in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOrganisation {
    /// Its name in metrics and logs.
    pub name: String,
    /// BLAKE3 digests of the bearer keys of its callers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub key_digests: Vec<String>,
    /// Share of the capacity, relative to other organisations.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Largest number of requests in progress at one entry; no limit per organisation if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub most_in_progress: Option<u32>,
    /// Priority passed to engines; higher values are served first.
    #[serde(default)]
    pub priority: i32,
}

fn default_share() -> u32 {
    1
}

/// Role of the engines of a model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Whole requests, from prompt to last token.
    #[default]
    Generate,
    /// Prefill of prompts only.
    Prefill,
    /// Decoding only.
    Decode,
}

/// Resource that a burst should minimise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BurstPreference {
    /// Time to N replicas: up to four copies may leave the origin.
    #[default]
    Time,
    /// The origin's link: one copy leaves it.
    OriginBytes,
}

impl std::fmt::Display for BurstPreference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Time => "time",
            Self::OriginBytes => "origin-bytes",
        })
    }
}

/// Text that is not a preference.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("\"{0}\" is not a preference; choose time or origin-bytes")]
pub struct PreferenceError(String);

impl std::str::FromStr for BurstPreference {
    type Err = PreferenceError;
    fn from_str(text: &str) -> Result<Self, PreferenceError> {
        [Self::Time, Self::OriginBytes]
            .into_iter()
            .find(|choice| choice.to_string() == text)
            .ok_or_else(|| PreferenceError(text.to_owned()))
    }
}

/// Policy for the distribution of weights.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstPolicy {
    /// Resource to minimise.
    #[serde(default)]
    pub prefer: BurstPreference,
}

/// Weights that belong to one manifest: a base model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightPart {
    /// Digest of its manifest.
    pub manifest: Digest,
    /// Its folder at the origin and the store.
    pub location: String,
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdapterPlan {
    /// Its name.
    pub name: AdapterName,
    /// Its version.
    pub version: VersionName,
    /// Its weights.
    pub part: WeightPart,
}

/// One model to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelPlan {
    /// Name that callers use.
    pub name: ModelName,
    /// Version to run.
    pub version: VersionName,
    /// Weights of the base.
    pub base: WeightPart,
    /// Adapters loaded with it.
    pub adapters: Vec<AdapterPlan>,
    /// Role of its engines.
    pub role: EngineRole,
    /// Replicas per failure domain, each at least 1.
    pub replicas: BTreeMap<DomainId, u32>,
    /// Replicas per failure domain that keep serving through a change of version.
    pub keep_serving: BTreeMap<DomainId, u32>,
}

/// Key of a (base, version, adapters) set: no two different sets share one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SetKey(pub u64);

impl std::fmt::Display for SetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl ModelPlan {
    /// The weights that must be complete before the set may serve: the base model and all adapters.
    pub fn parts(&self) -> Vec<WeightPart> {
        let adapters = self.adapters.iter().map(|adapter| adapter.part.clone());
        std::iter::once(self.base.clone()).chain(adapters).collect()
    }

    /// Key of this model's set, from the names, versions and manifests in it.
    pub fn set_key(&self) -> SetKey {
        let base = format!("{}@{}#{}", self.name, self.version, self.base.manifest);
        let text = self.adapters.iter().fold(base, |text, adapter| {
            format!("{text}+{}@{}#{}", adapter.name, adapter.version, adapter.part.manifest)
        });
        SetKey(key_of(text.as_bytes()))
    }

    /// Replicas that must keep serving in `domain` while versions change.
    ///
    /// Defaults to all but one, so that a change of version can make progress.
    pub fn min_serving(&self, domain: &DomainId) -> u32 {
        let replicas = self.replicas.get(domain).copied().unwrap_or(0);
        self.keep_serving.get(domain).copied().unwrap_or(replicas.saturating_sub(1))
    }

    /// Names under which callers may ask for it: the model's own and one per adapter.
    pub fn caller_names(&self) -> Vec<String> {
        let adapters =
            self.adapters.iter().map(|adapter| format!("{}:{}", self.name, adapter.name));
        std::iter::once(self.name.to_string()).chain(adapters).collect()
    }
}

/// One plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePlan {
    /// Its name.
    pub name: ServiceName,
    /// Path prefix, beginning with `/` and not ending with one.
    pub prefix: String,
    not_repeatable: Vec<CallPattern>,
    repeatable: Vec<CallPattern>,
}

impl ServicePlan {
    /// Whether a call with `method` to `path` below the prefix may run twice.
    pub fn repeatability(&self, method: &str, path: &str) -> Repeatability {
        let fits = |call: &CallPattern| call.method == method && path.starts_with(&call.path);
        if self.not_repeatable.iter().any(fits) {
            return Repeatability::Once;
        }
        if self.repeatable.iter().any(fits) {
            return Repeatability::Repeatable;
        }
        match method {
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" => Repeatability::Repeatable,
            _ => Repeatability::Once,
        }
    }

    /// The path below the prefix, if `path` is one of this service's.
    pub fn strip<'a>(&self, path: &'a str) -> Option<&'a str> {
        let rest = path.strip_prefix(&self.prefix)?;
        (rest.is_empty() || rest.starts_with('/')).then_some(rest)
    }
}

/// One organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationPlan {
    /// Its name.
    pub name: OrganisationName,
    /// Digests of its callers' keys.
    pub key_digests: Vec<Digest>,
    /// Share of the capacity, at least 1.
    pub share: u32,
    /// Largest number of requests in progress at one entry.
    pub most_in_progress: Option<u32>,
    /// Priority passed to engines.
    pub priority: i32,
}

/// A checked fleet file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetPlan {
    /// Models, in the order of the file, which is the order of placement.
    pub models: Vec<ModelPlan>,
    /// Plain services.
    pub services: Vec<ServicePlan>,
    /// Organisations.
    pub organisations: Vec<OrganisationPlan>,
    /// Policy for the distribution of weights.
    pub burst: BurstPolicy,
}

impl FleetPlan {
    /// Reads and checks a fleet file.
    pub fn parse(text: &str) -> Result<Self, InputError> {
        if text.len() > MAX_FLEET_BYTES {
            let message = format!("the file is longer than {MAX_FLEET_BYTES} bytes; split it");
            return Err(InputError::new("", message));
        }
        from_json::<RawFleet>(text)?.try_into()
    }

    /// The model that callers address as `caller_name`, which names the model or one of its adapters.
    pub fn model_for(&self, caller_name: &str) -> Option<&ModelPlan> {
        let base = caller_name.split(':').next().unwrap_or(caller_name);
        let named = self.models.iter().find(|model| model.name.as_str() == base)?;
        named.caller_names().iter().any(|name| name == caller_name).then_some(named)
    }
}

impl TryFrom<RawFleet> for FleetPlan {
    type Error = InputError;

    fn try_from(raw: RawFleet) -> Result<Self, InputError> {
        let models = each(&raw.models, "models", check_model)?;
        distinct("models", models.iter().map(|model| model.name.as_str()))?;
        let services = each(&raw.services, "services", check_service)?;
        distinct("services", services.iter().map(|service| service.name.as_str()))?;
        distinct("services", services.iter().map(|service| service.prefix.as_str()))?;
        let organisations = each(&raw.organisations, "organisations", check_organisation)?;
        distinct("organisations", organisations.iter().map(|one| one.name.as_str()))?;
        check_keys(&organisations)?;
        Ok(Self { models, services, organisations, burst: raw.burst })
    }
}

fn each<R, T>(
    items: &[R],
    list: &str,
    check: impl Fn(&R, &str) -> Result<T, InputError>,
) -> Result<Vec<T>, InputError> {
    let numbered = items.iter().enumerate();
    numbered.map(|(at, item)| check(item, &format!("{list}[{at}]"))).collect()
}

fn distinct<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Result<(), InputError> {
    let mut seen = HashSet::new();
    for (at, name) in names.enumerate() {
        if !seen.insert(name) {
            let message = format!("\"{name}\" occurs twice; remove or rename one");
            return Err(InputError::new(format!("{list}[{at}]"), message));
        }
    }
    Ok(())
}

fn check_model(raw: &RawModel, at: &str) -> Result<ModelPlan, InputError> {
    let name: ModelName = parse_at(format!("{at}.name"), &raw.name)?;
    let version: VersionName = parse_at(format!("{at}.version"), &raw.version)?;
    let base = check_part(&raw.manifest, &raw.location, &raw.name, &raw.version, at)?;
    let adapters = each(&raw.adapters, &format!("{at}.adapters"), check_adapter)?;
    distinct(&format!("{at}.adapters"), adapters.iter().map(|adapter| adapter.name.as_str()))?;
    let replicas = check_counts(&raw.replicas, &format!("{at}.replicas"))?;
    if replicas.is_empty() {
        let message = "no failure domain is named; give at least one, or remove the model";
        return Err(InputError::new(format!("{at}.replicas"), message));
    }
    let keep_serving = check_keep_serving(raw, &replicas, &format!("{at}.keep_serving"))?;
    Ok(ModelPlan { name, version, base, adapters, role: raw.role, replicas, keep_serving })
}

fn check_adapter(raw: &RawAdapter, at: &str) -> Result<AdapterPlan, InputError> {
    let name = parse_at(format!("{at}.name"), &raw.name)?;
    let version = parse_at(format!("{at}.version"), &raw.version)?;
    let part = check_part(&raw.manifest, &raw.location, &raw.name, &raw.version, at)?;
    Ok(AdapterPlan { name, version, part })
}

fn check_part(
    manifest: &str,
    location: &Option<String>,
    name: &str,
    version: &str,
    at: &str,
) -> Result<WeightPart, InputError> {
    let manifest = parse_at(format!("{at}.manifest"), manifest)?;
    let location = location.clone().unwrap_or_else(|| format!("{name}/{version}"));
    let plain = |part: &str| {
        let listed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
        !part.is_empty() && part != "." && part != ".." && part.chars().all(listed)
    };
    if !location.split('/').all(plain) {
        let message = format!("\"{location}\" is not a folder; write plain names with / between");
        return Err(InputError::new(format!("{at}.location"), message));
    }
    Ok(WeightPart { manifest, location })
}

fn check_counts(
    raw: &BTreeMap<String, u32>,
    at: &str,
) -> Result<BTreeMap<DomainId, u32>, InputError> {
    let check = |(domain, count): (&String, &u32)| {
        let path = format!("{at}.{domain}");
        let domain = parse_at(&path, domain)?;
        if *count == 0 || *count > MAX_REPLICAS {
            let message = format!(
                "{count} is not a replica count; give 1 to {MAX_REPLICAS}, or remove the domain"
            );
            return Err(InputError::new(path, message));
        }
        Ok((domain, *count))
    };
    raw.iter().map(check).collect()
}

fn check_keep_serving(
    raw: &RawModel,
    replicas: &BTreeMap<DomainId, u32>,
    at: &str,
) -> Result<BTreeMap<DomainId, u32>, InputError> {
    let check = |(domain, kept): (&String, &u32)| {
        let path = format!("{at}.{domain}");
        let domain: DomainId = parse_at(&path, domain)?;
        let most = replicas.get(&domain).copied().unwrap_or(0);
        if *kept >= most {
            let message = format!(
                "{kept} must keep serving out of {most} replicas, so none could change version; \
                 give a smaller number or more replicas"
            );
            return Err(InputError::new(path, message));
        }
        Ok((domain, *kept))
    };
    raw.keep_serving.iter().map(check).collect()
}

fn check_service(raw: &RawService, at: &str) -> Result<ServicePlan, InputError> {
    let name = parse_at(format!("{at}.name"), &raw.name)?;
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '/');
    let taken = ["/v1", "/metrics", "/healthz", "/readyz"]
        .iter()
        .any(|own| raw.prefix == *own || raw.prefix.starts_with(&format!("{own}/")));
    let fits = raw.prefix.len() > 1 && raw.prefix.starts_with('/') && !raw.prefix.ends_with('/');
    if !fits || taken || !raw.prefix.chars().all(plain) {
        let message = format!(
            "\"{}\" cannot be a prefix; write one like /rolls, outside /v1, /metrics, /healthz and \
             /readyz",
            raw.prefix
        );
        return Err(InputError::new(format!("{at}.prefix"), message));
    }
    check_call_patterns(&raw.not_repeatable, &format!("{at}.not_repeatable"))?;
    check_call_patterns(&raw.repeatable, &format!("{at}.repeatable"))?;
    Ok(ServicePlan {
        name,
        prefix: raw.prefix.clone(),
        not_repeatable: raw.not_repeatable.clone(),
        repeatable: raw.repeatable.clone(),
    })
}

fn check_call_patterns(calls: &[CallPattern], at: &str) -> Result<(), InputError> {
    const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
    for (nth, call) in calls.iter().enumerate() {
        if !METHODS.contains(&call.method.as_str()) {
            let message = format!("\"{}\" is not a method; use one of {METHODS:?}", call.method);
            return Err(InputError::new(format!("{at}[{nth}].method"), message));
        }
        if !call.path.starts_with('/') {
            let message = format!("\"{}\" does not begin with /; add it", call.path);
            return Err(InputError::new(format!("{at}[{nth}].path"), message));
        }
    }
    Ok(())
}

fn check_organisation(raw: &RawOrganisation, at: &str) -> Result<OrganisationPlan, InputError> {
    let name = parse_at(format!("{at}.name"), &raw.name)?;
    let keys = raw.key_digests.iter().enumerate();
    let key_digests = keys
        .map(|(nth, key)| parse_at(format!("{at}.key_digests[{nth}]"), key))
        .collect::<Result<_, _>>()?;
    if raw.share == 0 || raw.share > 1_000_000 {
        let message = format!("{} is not a share; give 1 to 1000000", raw.share);
        return Err(InputError::new(format!("{at}.share"), message));
    }
    if raw.most_in_progress == Some(0) {
        let message = "0 would refuse every request; give 1 or more, or leave it out";
        return Err(InputError::new(format!("{at}.most_in_progress"), message));
    }
    Ok(OrganisationPlan {
        name,
        key_digests,
        share: raw.share,
        most_in_progress: raw.most_in_progress,
        priority: raw.priority,
    })
}

fn check_keys(organisations: &[OrganisationPlan]) -> Result<(), InputError> {
    let mut seen = HashSet::new();
    for (at, one) in organisations.iter().enumerate() {
        for (nth, key) in one.key_digests.iter().enumerate() {
            if !seen.insert(key) {
                let message = "this key belongs to two organisations; remove it from one";
                return Err(InputError::new(
                    format!("organisations[{at}].key_digests[{nth}]"),
                    message,
                ));
            }
        }
    }
    Ok(())
}
