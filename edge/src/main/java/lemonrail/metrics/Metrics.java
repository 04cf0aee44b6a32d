package lemonrail.metrics;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * The metrics that operators read. Counters count from the start of the process, and are incremented by the code
 * that causes the event; gauges are evaluated when the metrics are read. Belongs to the event loop.
 */
public final class Metrics {

    private static final String PREFIX = "edge_gw.";

    /** The outcome of a request, as the name of a metric has it in lower case. */
    public enum Outcome {
        SUCCESS,
        OVERLOAD,
        ERROR
    }

    private final List<String> classNames;
    /** By class and outcome. */
    private final long[][] responses;
    /** By name, in the order in which they were registered. */
    private final Map<String, IntSupplier> gauges = new LinkedHashMap<>();

    private long dispatches;
    private long lateResponses;
    private long successfulReloads;
    private long failedReloads;
    private int concurrentRequests;

    /** Creates the metrics of these request classes, all counters at 0. */
    public Metrics(List<String> classNames) {
        this.classNames = List.copyOf(classNames);
        responses = new long[this.classNames.size()][Outcome.values().length];
    }

    /** Counts a complete request that is owed a response. */
    public void onRequestStarted() {
        concurrentRequests++;
    }

    /** Counts a request as over: its response is written, or its client has gone. */
    public void onRequestEnded() {
        concurrentRequests--;
    }

    /** Counts a response to a request of this class, once its last byte is written. */
    public void onResponse(int requestClass, Outcome outcome) {
        responses[requestClass][outcome.ordinal()]++;
    }

    /** Counts an attempt, once its last byte is written to the endpoint. */
    public void onDispatch() {
        dispatches++;
    }

    /** Counts a final response after the deadline of its request. */
    public void onLateResponse() {
        lateResponses++;
    }

    /** Counts a reload of the configuration. */
    public void onReload(boolean success) {
        if (success) {
            successfulReloads++;
        } else {
            failedReloads++;
        }
    }

    /** Registers a gauge; its value is read on the event loop. */
    public void gauge(String name, IntSupplier value) {
        gauges.put(name, value);
    }

    /** Returns all metrics, one a line. */
    public String render() {
        StringBuilder text = new StringBuilder();
        appendResponses(text);
        appendLine(text, "dispatches", dispatches);
        appendLine(text, "answers_late", lateResponses);
        appendLine(text, "concurrent", concurrentRequests);
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
