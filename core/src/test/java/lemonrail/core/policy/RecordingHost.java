package lemonrail.core.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemonrail.core.balancer.LoadBalancerHost;

/** A host that records a balancer's actions without carrying them out. */
final class RecordingHost implements LoadBalancerHost {

    /** An attempt that was started. */
    record StartedAttempt(String request, int attempt, String endpoint, double timeoutMs) {}

    final List<StartedAttempt> started = new ArrayList<>();
    final List<String> rejected = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> closed = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    /** All actions in order, as text. */
    final List<String> actions = new ArrayList<>();

    final List<Double> timerDelaysMs = new ArrayList<>();
    int polls;
    private final Map<String, Integer> attempts = new HashMap<>();

    StartedAttempt lastAttempt() {
        return started.get(started.size() - 1);
    }

    @Override
    public void startAttempt(String request, String endpoint, double timeoutMs) {
        int attempt = attempts.merge(request, 1, Integer::sum) - 1;
        started.add(new StartedAttempt(request, attempt, endpoint, timeoutMs));
        actions.add("start " + request + " " + endpoint + " " + timeoutMs);
    }

    @Override
    public void reject(String request, double retryAfterMs) {
        rejected.add(request);
        actions.add("reject " + request);
    }

    @Override
    public void fail(String request) {
        failed.add(request);
        actions.add("fail " + request);
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        cancelled.add(request + "#" + attempt);
        actions.add("cancel " + request + " " + attempt);
    }

    @Override
    public void startTimer(double delayMs, long name) {
        timerDelaysMs.add(delayMs);
        actions.add("timer " + name);
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        closed.add(endpoint);
        actions.add("close " + endpoint);
    }

    @Override
    public void pollEndpoints() {
        polls++;
        actions.add("poll");
    }

    @Override
    public void log(String line) {
        log.add(line);
    }
}
