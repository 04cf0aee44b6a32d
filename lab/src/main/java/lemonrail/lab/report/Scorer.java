package lemonrail.lab.report;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.TenantQuota;
import lemonrail.lab.host.AttemptRecorder;
import lemonrail.lab.host.RunResult;
import lemonrail.lab.model.ClientRequest;
import org.HdrHistogram.Histogram;

/**
 * Computes the verdict of a run from its requests and attempts. Rule violations are detected during the run, not here.
 */
public final class Scorer {

    private static final double WHOLE_WEIGHT = 0.5;
    private static final double WORST_WINDOW_WEIGHT = 0.3;
    private static final double WORST_CLASS_WEIGHT = 0.1;
    private static final double WORST_TENANT_WEIGHT = 0.1;
    private static final double WASTE_PENALTY = 0.12;
    private static final double LATE_PENALTY = 0.12;
    /** Penalty, as a fraction of its weight, for a request that failed late without a single attempt at an endpoint. */
    private static final double NO_ATTEMPT_PENALTY = 0.3;

    private static final double WINDOW_MS = 10_000;
    private static final double WINDOW_STEP_MS = 1000;
    /**
     * Windows whose requests weigh less than this fraction of the mean window are too small to count as the worst one.
     */
    private static final double MIN_WINDOW_WEIGHT = 0.25;

    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
    private static final int MAX_LISTED_VIOLATIONS = 20;

    private final RunResult run;
    private final List<RequestClass> classes;
    private final Set<ClientRequest> overQuota = new HashSet<>();

    private Scorer(RunResult run) {
        this.run = run;
        classes = run.scenario().requests().stream()
                .map(requests -> run.settings().classes().stream()
                        .filter(requestClass -> requestClass.name().equals(requests.className()))
                        .findFirst()
                        .orElseThrow())
                .toList();
    }

    /**
     * Returns the verdict of a run. Ignores requests due before the end of the warm-up, except for quotas, and requests
     * that were never sent.
     */
    public static Verdict score(RunResult run) {
        return new Scorer(run).verdict();
    }

    private double weight(ClientRequest clientRequest) {
        double classWeight = classes.get(clientRequest.requestClass()).priorityWeight();
        return overQuota.contains(clientRequest) ? classWeight * run.settings().overQuotaWeight() : classWeight;
    }

    private double earnedWeight(ClientRequest clientRequest) {
        double tookMs = clientRequest.servedMs() - clientRequest.arrivedMs();
        return tookMs <= classes.get(clientRequest.requestClass()).latencyObjectiveMs()
                ? weight(clientRequest)
                : -penalty(clientRequest);
    }

    private double penalty(ClientRequest clientRequest) {
        if (clientRequest.tries().isEmpty() || !Double.isNaN(clientRequest.servedMs())) {
            return 0;
        }
        ClientRequest.Try last = clientRequest.last();
        boolean late = last.end() == ClientRequest.End.GIVEN_UP
                || last.endedMs() - last.sentMs()
                        > classes.get(clientRequest.requestClass()).deadlineMs()
                                * run.scenario().patience().minFraction()
                                / 2;
        boolean attempted = clientRequest.tries().stream()
                .anyMatch(
                        clientTry -> !run.recorder().attemptsOf(clientTry.id()).isEmpty());
        return late && !attempted ? NO_ATTEMPT_PENALTY * weight(clientRequest) : 0;
    }

    private double score(List<ClientRequest> clientRequests) {
        double totalWeight = sum(clientRequests, this::weight);
        return totalWeight == 0 ? 1 : sum(clientRequests, this::earnedWeight) / totalWeight;
    }

    private static double sum(List<ClientRequest> clientRequests, ToDoubleFunction<ClientRequest> value) {
        return clientRequests.stream().mapToDouble(value).sum();
    }

    /** Finds the requests over their tenant's quota, with a token bucket that holds one second's worth of requests. */
    private void findOverQuota(List<ClientRequest> clientRequests) {
        for (int index = 0; index < run.scenario().tenants().size(); index++) {
            String name = run.scenario().tenants().get(index).name();
            double rate = run.settings().tenants().stream()
                    .filter(quota -> quota.name().equals(name))
                    .mapToDouble(TenantQuota::requestsPerSecond)
                    .findFirst()
                    .orElse(0);
            if (rate <= 0) {
                continue;
            }
            double tokens = rate;
            double lastMs = 0;
            for (ClientRequest clientRequest : clientRequests) {
                if (clientRequest.tenant() == index) {
                    tokens = Math.min(rate, tokens + (clientRequest.arrivedMs() - lastMs) / 1000 * rate);
                    lastMs = clientRequest.arrivedMs();
                    if (tokens < 1) {
                        overQuota.add(clientRequest);
                    } else {
                        tokens--;
                    }
                }
            }
        }
    }

    private Verdict verdict() {
        findOverQuota(run.requests());
        double warmUpMs = run.scenario().load().warmUpMs();
        List<ClientRequest> clientRequests = run.requests().stream()
                .filter(clientRequest -> clientRequest.arrivedMs() >= warmUpMs
                        && !clientRequest.tries().isEmpty())
                .toList();
        double overallScore = score(clientRequests);
        double worstWindowScore = worstWindow(clientRequests, warmUpMs, overallScore);
        double worstClass = worstGroup(clientRequests, classes.size(), ClientRequest::requestClass);
        List<ClientRequest> withinQuota = clientRequests.stream()
                .filter(clientRequest -> !overQuota.contains(clientRequest))
                .toList();
        double worstTenant = worstGroup(withinQuota, run.scenario().tenants().size(), ClientRequest::tenant);
        double requestedWorkMs = sum(clientRequests, ClientRequest::workMs);
        double waste = requestedWorkMs == 0 ? 0 : wastedWorkMs(warmUpMs) / requestedWorkMs;
        double late = sum(
                        clientRequests,
                        clientRequest -> !Double.isNaN(clientRequest.servedMs()) && earnedWeight(clientRequest) <= 0
                                ? weight(clientRequest)
                                : 0)
                / Math.max(1e-9, sum(clientRequests, this::weight));
        double service = WHOLE_WEIGHT * overallScore
                + WORST_WINDOW_WEIGHT * worstWindowScore
                + WORST_CLASS_WEIGHT * worstClass
                + WORST_TENANT_WEIGHT * worstTenant
                - WASTE_PENALTY * Math.min(1, waste)
                - LATE_PENALTY * late;
        Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);
        clientRequests.stream()
                .filter(clientRequest -> !Double.isNaN(clientRequest.servedMs()))
                .forEach(clientRequest -> latencyMicros.recordValue(Math.min(
                        MAX_LATENCY_MICROS, (long) ((clientRequest.servedMs() - clientRequest.arrivedMs()) * 1000))));
        long attempts = run.recorder().attempts().stream()
                .filter(attempt -> attempt.tier() == 0 && attempt.receivedMs() >= warmUpMs)
                .count();
        return new Verdict(
                service,
                overallScore,
                worstWindowScore,
                worstClass,
                worstTenant,
                waste,
                late,
                clientRequests.size(),
                count(clientRequests, end -> end == ClientRequest.End.SERVED),
                count(clientRequests, end -> end == ClientRequest.End.REFUSED),
                count(clientRequests, end -> end == ClientRequest.End.FAILED || end == ClientRequest.End.UNREACHED),
                count(clientRequests, end -> end == ClientRequest.End.LOST || end == ClientRequest.End.GIVEN_UP),
                attempts / (double) Math.max(1, clientRequests.size()),
                latencyMicros.getValueAtPercentile(50) / 1e3,
                latencyMicros.getValueAtPercentile(99) / 1e3,
                latencyMicros.getValueAtPercentile(99.9) / 1e3,
                run.violations().size(),
                run.violations().stream().limit(MAX_LISTED_VIOLATIONS).toList());
    }

    private static int count(List<ClientRequest> clientRequests, Predicate<ClientRequest.End> end) {
        return (int) clientRequests.stream()
                .filter(clientRequest -> end.test(clientRequest.last().end()))
                .count();
    }

    private double worstWindow(List<ClientRequest> clientRequests, double warmUpMs, double overallScore) {
        double lastMs = clientRequests.isEmpty()
                ? warmUpMs
                : clientRequests.get(clientRequests.size() - 1).arrivedMs();
        double meanWindowWeight =
                sum(clientRequests, this::weight) * WINDOW_MS / Math.max(WINDOW_MS, lastMs - warmUpMs);
        double worstWindowScore = overallScore;
        for (double windowStartMs = warmUpMs; windowStartMs + WINDOW_MS <= lastMs; windowStartMs += WINDOW_STEP_MS) {
            double startMs = windowStartMs;
            List<ClientRequest> windowRequests = clientRequests.stream()
                    .filter(clientRequest ->
                            clientRequest.arrivedMs() >= startMs && clientRequest.arrivedMs() < startMs + WINDOW_MS)
                    .toList();
            if (sum(windowRequests, this::weight) >= meanWindowWeight * MIN_WINDOW_WEIGHT) {
                worstWindowScore = Math.min(worstWindowScore, score(windowRequests));
            }
        }
        return worstWindowScore;
    }

    private double worstGroup(List<ClientRequest> clientRequests, int groups, ToIntFunction<ClientRequest> group) {
        double worstScore = 1;
        for (int i = 0; i < groups; i++) {
            int index = i;
            worstScore = Math.min(
                    worstScore,
                    score(clientRequests.stream()
                            .filter(clientRequest -> group.applyAsInt(clientRequest) == index)
                            .toList()));
        }
        return groups == 0 ? score(clientRequests) : worstScore;
    }

    /**
     * Returns the work in ms of attempts that were started, but did not contribute to a response that a client
     * received.
     */
    private double wastedWorkMs(double warmUpMs) {
        Set<String> served = new HashSet<>();
        run.requests()
                .forEach(clientRequest -> clientRequest.tries().stream()
                        .filter(clientTry -> clientTry.end() == ClientRequest.End.SERVED)
                        .forEach(clientTry -> served.add(clientTry.id())));
        double wastedWorkMs = 0;
        for (AttemptRecorder.Attempt attempt : run.recorder().attempts()) {
            if (!Double.isNaN(attempt.startedMs()) && attempt.receivedMs() >= warmUpMs && !isUseful(attempt, served)) {
                wastedWorkMs += attempt.workMs();
            }
        }
        return wastedWorkMs;
    }

    private static boolean isUseful(AttemptRecorder.Attempt attempt, Set<String> served) {
        if (!attempt.outcome().equals("served")) {
            return false;
        }
        return attempt.parent() == null ? served.contains(attempt.request()) : isUseful(attempt.parent(), served);
    }
}
