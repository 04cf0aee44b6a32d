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

/** Scores the service of a run as the site's brief does; the rules themselves are checked while it plays. */
public final class Scorer {

    private static final double WHOLE_WEIGHT = 0.5;
    private static final double WORST_WINDOW_WEIGHT = 0.3;
    private static final double WORST_CLASS_WEIGHT = 0.1;
    private static final double WORST_TENANT_WEIGHT = 0.1;
    private static final double WASTE_PRICE = 0.12;
    private static final double LATE_PRICE = 0.12;
    /** Of its worth, what something costs that was given up late without one attempt. */
    private static final double UNTRIED_PRICE = 0.3;

    private static final double WINDOW_MS = 10_000;
    private static final double STEP_MS = 1000;
    /** A window that asked for less than this part of the mean is too thin to be the worst. */
    private static final double THIN = 0.25;

    private static final long MOST_MICROS = 3_600_000_000L;
    private static final int MOST_RULES = 20;

    private final RunResult run;
    private final List<RequestClass> classes;
    private final Set<ClientRequest> surplus = new HashSet<>();

    private Scorer(RunResult run) {
        this.run = run;
        classes = run.scenario().requests().stream()
                .map(requests -> run.settings().classes().stream()
                        .filter(kind -> kind.name().equals(requests.className()))
                        .findFirst()
                        .orElseThrow())
                .toList();
    }

    /** Scores a run; what was due before the warm-up ended does not count. */
    public static Verdict score(RunResult run) {
        return new Scorer(run).verdict();
    }

    private double worth(ClientRequest clientRequest) {
        double full = classes.get(clientRequest.requestClass()).priorityWeight();
        return surplus.contains(clientRequest) ? full * run.settings().overQuotaWeight() : full;
    }

    private double got(ClientRequest clientRequest) {
        double tookMs = clientRequest.servedMs() - clientRequest.arrivedMs();
        return tookMs <= classes.get(clientRequest.requestClass()).latencyObjectiveMs()
                ? worth(clientRequest)
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
                                * run.scenario().patience().least()
                                / 2;
        boolean tried = clientRequest.tries().stream()
                .anyMatch(each -> !run.recorder().attemptsOf(each.id()).isEmpty());
        return late && !tried ? UNTRIED_PRICE * worth(clientRequest) : 0;
    }

    private double share(List<ClientRequest> clientRequests) {
        double wanted = sum(clientRequests, this::worth);
        return wanted == 0 ? 1 : sum(clientRequests, this::got) / wanted;
    }

    private static double sum(List<ClientRequest> clientRequests, ToDoubleFunction<ClientRequest> of) {
        return clientRequests.stream().mapToDouble(of).sum();
    }

    /** Marks what goes beyond its tenant's rate, second by second. */
    private void findSurplus(List<ClientRequest> clientRequests) {
        for (int place = 0; place < run.scenario().tenants().size(); place++) {
            String name = run.scenario().tenants().get(place).name();
            double rate = run.settings().tenants().stream()
                    .filter(each -> each.name().equals(name))
                    .mapToDouble(TenantQuota::requestsPerSecond)
                    .findFirst()
                    .orElse(0);
            if (rate <= 0) {
                continue;
            }
            double tokens = rate;
            double lastMs = 0;
            for (ClientRequest clientRequest : clientRequests) {
                if (clientRequest.tenant() == place) {
                    tokens = Math.min(rate, tokens + (clientRequest.arrivedMs() - lastMs) / 1000 * rate);
                    lastMs = clientRequest.arrivedMs();
                    if (tokens < 1) {
                        surplus.add(clientRequest);
                    } else {
                        tokens--;
                    }
                }
            }
        }
    }

    private Verdict verdict() {
        findSurplus(run.requests());
        double warmMs = run.scenario().load().warmUpMs();
        List<ClientRequest> clientRequests = run.requests().stream()
                .filter(clientRequest -> clientRequest.arrivedMs() >= warmMs
                        && !clientRequest.tries().isEmpty())
                .toList();
        double whole = share(clientRequests);
        double worst = worstWindow(clientRequests, warmMs, whole);
        double worstClass = worstOf(clientRequests, classes.size(), ClientRequest::requestClass);
        List<ClientRequest> within = clientRequests.stream()
                .filter(clientRequest -> !surplus.contains(clientRequest))
                .toList();
        double worstTenant = worstOf(within, run.scenario().tenants().size(), ClientRequest::tenant);
        double asked = sum(clientRequests, ClientRequest::workMs);
        double waste = asked == 0 ? 0 : wasted(warmMs) / asked;
        double late = sum(
                        clientRequests,
                        clientRequest -> !Double.isNaN(clientRequest.servedMs()) && got(clientRequest) <= 0
                                ? worth(clientRequest)
                                : 0)
                / Math.max(1e-9, sum(clientRequests, this::worth));
        double service = WHOLE_WEIGHT * whole
                + WORST_WINDOW_WEIGHT * worst
                + WORST_CLASS_WEIGHT * worstClass
                + WORST_TENANT_WEIGHT * worstTenant
                - WASTE_PRICE * Math.min(1, waste)
                - LATE_PRICE * late;
        Histogram micros = new Histogram(MOST_MICROS, 3);
        clientRequests.stream()
                .filter(clientRequest -> !Double.isNaN(clientRequest.servedMs()))
                .forEach(clientRequest -> micros.recordValue(
                        Math.min(MOST_MICROS, (long) ((clientRequest.servedMs() - clientRequest.arrivedMs()) * 1000))));
        long attempts = run.recorder().attempts().stream()
                .filter(attempt -> attempt.tier() == 0 && attempt.receivedMs() >= warmMs)
                .count();
        return new Verdict(
                service,
                whole,
                worst,
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
                micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(99) / 1e3,
                micros.getValueAtPercentile(99.9) / 1e3,
                run.violations().size(),
                run.violations().stream().limit(MOST_RULES).toList());
    }

    private static int count(List<ClientRequest> clientRequests, Predicate<ClientRequest.End> end) {
        return (int) clientRequests.stream()
                .filter(clientRequest -> end.test(clientRequest.last().end()))
                .count();
    }

    private double worstWindow(List<ClientRequest> clientRequests, double warmMs, double whole) {
        double lastMs = clientRequests.isEmpty()
                ? warmMs
                : clientRequests.get(clientRequests.size() - 1).arrivedMs();
        double mean = sum(clientRequests, this::worth) * WINDOW_MS / Math.max(WINDOW_MS, lastMs - warmMs);
        double worst = whole;
        for (double from = warmMs; from + WINDOW_MS <= lastMs; from += STEP_MS) {
            double begin = from;
            List<ClientRequest> in = clientRequests.stream()
                    .filter(clientRequest ->
                            clientRequest.arrivedMs() >= begin && clientRequest.arrivedMs() < begin + WINDOW_MS)
                    .toList();
            if (sum(in, this::worth) >= mean * THIN) {
                worst = Math.min(worst, share(in));
            }
        }
        return worst;
    }

    private double worstOf(List<ClientRequest> clientRequests, int groups, ToIntFunction<ClientRequest> group) {
        double worst = 1;
        for (int i = 0; i < groups; i++) {
            int place = i;
            worst = Math.min(
                    worst,
                    share(clientRequests.stream()
                            .filter(clientRequest -> group.applyAsInt(clientRequest) == place)
                            .toList()));
        }
        return groups == 0 ? share(clientRequests) : worst;
    }

    /** Work of attempts that were begun and of which no client had anything. */
    private double wasted(double warmMs) {
        Set<String> served = new HashSet<>();
        run.requests()
                .forEach(clientRequest -> clientRequest.tries().stream()
                        .filter(each -> each.end() == ClientRequest.End.SERVED)
                        .forEach(each -> served.add(each.id())));
        double wasted = 0;
        for (AttemptRecorder.Attempt attempt : run.recorder().attempts()) {
            if (!Double.isNaN(attempt.startedMs()) && attempt.receivedMs() >= warmMs && !useful(attempt, served)) {
                wasted += attempt.workMs();
            }
        }
        return wasted;
    }

    private static boolean useful(AttemptRecorder.Attempt attempt, Set<String> served) {
        if (!attempt.outcome().equals("served")) {
            return false;
        }
        return attempt.parent() == null ? served.contains(attempt.request()) : useful(attempt.parent(), served);
    }
}
