package org.cowslipdale.daemon.telemetry;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.Collection;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates a span for each hop of a request and writes finished spans to the log {@code trace}.
 *
 * <p>The context travels between processes as a W3C {@code traceparent} value.
 */
public final class Tracing implements AutoCloseable {

  private static final Logger TRACE = LoggerFactory.getLogger("trace");
  private static final Pattern TRACEPARENT =
      Pattern.compile("00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})");

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  /**
   * Creates the tracing of a process.
   *
   * @param ratio the share of new traces that are recorded, from 0 to 1
   */
  public Tracing(double ratio) {
    this.provider =
        SdkTracerProvider.builder()
            .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(ratio)))
            .addSpanProcessor(BatchSpanProcessor.builder(new LogExporter()).build())
            .build();
    this.tracer = provider.get("cowslipdale");
  }

  /**
   * Starts the span of a hop.
   *
   * @param hop the name of the hop: entry, forward or backend
   * @param traceparent the context received from the previous hop, if any
   */
  public Hop startHop(String hop, @Nullable String traceparent) {
    Context parent = Context.root().with(Span.wrap(parse(traceparent)));
    Span span = tracer.spanBuilder(hop).setParent(parent).setSpanKind(SpanKind.SERVER).startSpan();
    return new Hop(span);
  }

  @Override
  public void close() {
    provider.close();
  }

  private static SpanContext parse(@Nullable String traceparent) {
    Matcher matcher = TRACEPARENT.matcher(traceparent == null ? "" : traceparent);
    if (!matcher.matches()) {
      return SpanContext.getInvalid();
    }
    return SpanContext.createFromRemoteParent(
        matcher.group(1),
        matcher.group(2),
        TraceFlags.fromHex(matcher.group(3), 0),
        TraceState.getDefault());
  }

  /** The span of one hop; closing it ends the span. */
  public static final class Hop implements AutoCloseable {

    private final Span span;

    private Hop(Span span) {
      this.span = span;
    }

    /**
     * Adds an attribute.
     *
     * @param name the name
     * @param value the value
     */
    public void set(String name, String value) {
      span.setAttribute(AttributeKey.stringKey(name), value);
    }

    /** Returns the context to send to the next hop. */
    public String traceparent() {
      SpanContext context = span.getSpanContext();
      return "00-%s-%s-%s"
          .formatted(context.getTraceId(), context.getSpanId(), context.getTraceFlags().asHex());
    }

    @Override
    public void close() {
      span.end();
    }
  }

  private static final class LogExporter implements SpanExporter {

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
      for (SpanData span : spans) {
        long micros = (span.getEndEpochNanos() - span.getStartEpochNanos()) / 1_000;
        TRACE.info(
            "trace={} span={} parent={} hop={} start_us={} duration_us={} {}",
            span.getTraceId(),
            span.getSpanId(),
            span.getParentSpanId(),
            span.getName(),
            span.getStartEpochNanos() / 1_000,
            micros,
            span.getAttributes().asMap());
      }
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
      return CompletableResultCode.ofSuccess();
    }
  }
}
