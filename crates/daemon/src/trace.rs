//! Tracing: one span per hop, with W3C trace context propagation.

use std::collections::HashMap;

use error_stack::{Report, ResultExt};
use opentelemetry::{
    Context, KeyValue, global,
    propagation::TextMapPropagator,
    trace::{SpanKind, TraceContextExt, Tracer, TracerProvider},
};
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::{Resource, propagation::TraceContextPropagator, trace::SdkTracerProvider};

use headlatch_types::settings::TraceSettings;

use crate::error::DaemonError;

/// Header that carries the trace context between hops.
pub const TRACEPARENT: &str = "traceparent";

/// Creates the spans of one daemon.
#[derive(Debug, Clone)]
pub struct SpanFactory {
    provider: SdkTracerProvider,
}

impl SpanFactory {
    /// Creates a factory that exports spans to the collector in `settings`, or discards them if
    /// `None`.
    pub fn new(
        service: &str,
        settings: Option<&TraceSettings>,
    ) -> Result<Self, Report<DaemonError>> {
        let resource = Resource::builder().with_service_name(service.to_owned()).build();
        let builder = SdkTracerProvider::builder().with_resource(resource);
        let builder = match settings {
            None => builder,
            Some(settings) => {
                let exporter = opentelemetry_otlp::SpanExporter::builder()
                    .with_tonic()
                    .with_endpoint(&settings.collector)
                    .build()
                    .change_context(DaemonError::Telemetry("traces"))?;
                builder.with_batch_exporter(exporter)
            }
        };
        let provider = builder.build();
        global::set_tracer_provider(provider.clone());
        Ok(Self { provider })
    }

    /// Starts the span of a hop, with the context in `traceparent` as its parent if it is valid.
    pub fn begin(&self, name: &'static str, kind: SpanKind, traceparent: Option<&str>) -> HopSpan {
        let carrier: HashMap<String, String> = traceparent
            .map(|value| (TRACEPARENT.to_owned(), value.to_owned()))
            .into_iter()
            .collect();
        let parent = TraceContextPropagator::new().extract(&carrier);
        self.begin_in(name, kind, &parent)
    }

    fn begin_in(&self, name: &'static str, kind: SpanKind, parent: &Context) -> HopSpan {
        let tracer = self.provider.tracer("headlatch");
        let span = tracer.span_builder(name).with_kind(kind).start_with_context(&tracer, parent);
        HopSpan { context: parent.with_span(span) }
    }

    /// Starts a child span of `span` for a further hop.
    pub fn child(&self, name: &'static str, kind: SpanKind, span: &HopSpan) -> HopSpan {
        self.begin_in(name, kind, &span.context)
    }

    /// Exports all pending spans.
    pub fn flush(&self) {
        // If the collector is unreachable at shutdown, only the last spans are lost.
        let _ = self.provider.force_flush();
    }
}

/// The span of one hop; ends when dropped.
#[derive(Debug, Clone)]
pub struct HopSpan {
    context: Context,
}

impl HopSpan {
    /// The `traceparent` value for the next hop.
    pub fn traceparent(&self) -> String {
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut carrier);
        carrier.remove(TRACEPARENT).unwrap_or_default()
    }

    /// Sets a span attribute.
    pub fn set(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.context.span().set_attribute(KeyValue::new(key, value));
    }
}
