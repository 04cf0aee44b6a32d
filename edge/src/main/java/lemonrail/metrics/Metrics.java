package lemonrail.metrics;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * The figures that operators read. A counter is raised where the thing itself happens and by nobody else, so
 * no figure is ever worked out again from others; a gauge is asked for its value when the figures are read.
 * Counts run from the process's start. Belongs to the event loop.
 */
public final class Metrics {

    private static final String PREFIX = "edge_gw.";

    /** How a request ended, in the words of the figures. */
    public enum Ending {
        SUCCESS,
        OVERLOAD,
        ERROR
    }

    private final List<String> classes;
    private final long[][] replies;
    private final Map<String, IntSupplier> gauges = new LinkedHashMap<>();
    private long dispatches;
    private long lateAnswers;
    private long reloads;
    private long reloadsFailed;
    private int concurrent;

    /** All counters of these classes are there from the start, at 0. */
    public Metrics(List<String> classes) {
        this.classes = List.copyOf(classes);
        replies = new long[this.classes.size()][Ending.values().length];
    }

    /** A request has come whole and is owed an answer. */
    public void taken() {
        concurrent++;
    }

    /** A request that was taken is over: its answer is written, or nobody waits for one any more. */
    public void ended() {
        concurrent--;
    }

    /** The last byte of an answer to a request of this class has been written. */
    public void replied(int requestClass, Ending ending) {
        replies[requestClass][ending.ordinal()]++;
    }

    /** The last byte of an attempt has been written to an endpoint. */
    public void dispatched() {
        dispatches++;
    }

    /** A final answer was given after its client's time. */
    public void answeredLate() {
        lateAnswers++;
    }

    /** The configuration was read again, with or without success. */
    public void reloaded(boolean success) {
        if (success) {
            reloads++;
        } else {
            reloadsFailed++;
        }
    }

    /** Adds a figure that is read off where it is kept. */
    public void gauge(String name, IntSupplier value) {
        gauges.put(name, value);
    }

    /** All figures, one a line. */
    public String render() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < replies.length; i++) {
            for (Ending ending : Ending.values()) {
                line(
                        text,
                        "replies." + classes.get(i) + "." + ending.name().toLowerCase(Locale.ROOT),
                        replies[i][ending.ordinal()]);
            }
        }
        line(text, "dispatches", dispatches);
        line(text, "answers_late", lateAnswers);
        line(text, "concurrent", concurrent);
        gauges.forEach((name, value) -> line(text, name, value.getAsInt()));
        line(text, "reload_success", reloads);
        line(text, "reload_failure", reloadsFailed);
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }
}
