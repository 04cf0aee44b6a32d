package lemonrail.metrics;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * The metrics of a sidecar, which operators read over the admin API. Counters start at 0 when the process starts;
 * gauges are evaluated when the metrics are rendered. Must be used on the event loop only.
 */
public final class Metrics {

    private static final String PREFIX = "edge_gw.";

    /** The outcome of a request; in lower case, the last part of a metric's name. */
    public enum Outcome {
        SUCCESS,
        OVERLOAD,
        ERROR
    }

    private final List<String> classNames;
    /** Number of responses by request class and outcome. */
    private final long[][] responses;
    /** Gauges by name, in the order in which they were registered. */
    private final Map<String, IntSupplier> gauges = new LinkedHashMap<>();

    private long dispatches;
    private long lateResponses;
    private long refusedForMemory;
    private long refusedUploads;
    private long successfulReloads;
    private long failedReloads;
    private int concurrentRequests;

    /** Creates the metrics for these request classes, with all counters at 0. */
    public Metrics(List<String> classNames) {
        this.classNames = List.copyOf(classNames);
        responses = new long[this.classNames.size()][Outcome.values().length];
    }

    /** Counts a request that has been received and awaits its final response. */
    public void onRequestStarted() {
        concurrentRequests++;
    }

    /** Counts a request as ended, because its response is written or its client has disconnected. */
    public void onRequestEnded() {
        concurrentRequests--;
    }

    /** Counts a final response to a request of this class; called when its last byte is written. */
    public void onResponse(int requestClass, Outcome outcome) {
        responses[requestClass][outcome.ordinal()]++;
    }

    /** Counts an attempt; called when its last byte is written to the endpoint. */
    public void onDispatch() {
        dispatches++;
    }

    /** Counts a final response that was sent after the deadline of its request. */
    public void onLateResponse() {
        lateResponses++;
    }

    /** Counts a request that was rejected because requests and responses hold too much memory. */
    public void onRefusedForMemory() {
        refusedForMemory++;
    }

    /** Counts a request that was rejected because too many bodies are arriving. */
    public void onUploadRefused() {
        refusedUploads++;
    }

    /** Counts a successful or failed reload of the configuration. */
    public void onReload(boolean success) {
        if (success) {
            successfulReloads++;
        } else {
            failedReloads++;
        }
    }

    /** Registers a gauge; {@code value} is called on the event loop by {@link #render}. */
    public void registerGauge(String name, IntSupplier value) {
        gauges.put(name, value);
    }

    /** Returns all metrics, one {@code name=value} line each. */
    public String render() {
        StringBuilder text = new StringBuilder();
        appendResponses(text);
        appendLine(text, "dispatches", dispatches);
        appendLine(text, "answers_late", lateResponses);
        appendLine(text, "concurrent", concurrentRequests);
        appendLine(text, "memory.refused", refusedForMemory);
        appendLine(text, "uploads_refused", refusedUploads);
        gauges.forEach((name, value) -> appendLine(text, name, value.getAsInt()));
        appendLine(text, "reload_success", successfulReloads);
        appendLine(text, "reload_failure", failedReloads);
        return text.toString();
    }

    private void appendResponses(StringBuilder text) {
        for (int i = 0; i < responses.length; i++) {
            for (Outcome outcome : Outcome.values()) {
                String name =
                        "replies." + classNames.get(i) + "." + outcome.name().toLowerCase(Locale.ROOT);
                appendLine(text, name, responses[i][outcome.ordinal()]);
            }
        }
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }
}
