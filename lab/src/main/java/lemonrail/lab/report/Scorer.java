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

    private final RunResult played;
    private final List<RequestClass> classes;
    private final Set<ClientRequest> surplus = new HashSet<>();

    private Scorer(RunResult played) {
        this.played = played;
        classes = played.scenario().requests().stream()
                .map(requests -> played.settings().classes().stream()
                        .filter(kind -> kind.name().equals(requests.className()))
                        .findFirst()
                        .orElseThrow())
                .toList();
    }

    /** Scores a run; what was due before the warm-up ended does not count. */
    public static Verdict score(RunResult played) {
        return new Scorer(played).verdict();
    }

    private double worth(ClientRequest ask) {
        double full = classes.get(ask.requestClass()).priorityWeight();
        return surplus.contains(ask) ? full * played.settings().overQuotaWeight() : full;
    }

    private double got(ClientRequest ask) {
        double tookMs = ask.servedMs() - ask.arrivedMs();
        return tookMs <= classes.get(ask.requestClass()).latencyObjectiveMs() ? worth(ask) : -penalty(ask);
    }

    private double penalty(ClientRequest ask) {
        if (ask.tries().isEmpty() || !Double.isNaN(ask.servedMs())) {
            return 0;
        }
        ClientRequest.Try last = ask.last();
        boolean late = last.end() == ClientRequest.End.GIVEN_UP
                || last.endedMs() - last.sentMs()
                        > classes.get(ask.requestClass()).deadlineMs()
                                * played.scenario().patience().least()
                                / 2;
        boolean tried = ask.tries().stream()
                .anyMatch(each -> !played.recorder().of(each.id()).isEmpty());
        return late && !tried ? UNTRIED_PRICE * worth(ask) : 0;
    }

    private double share(List<ClientRequest> asks) {
        double wanted = sum(asks, this::worth);
        return wanted == 0 ? 1 : sum(asks, this::got) / wanted;
    }

    private static double sum(List<ClientRequest> asks, ToDoubleFunction<ClientRequest> of) {
        return asks.stream().mapToDouble(of).sum();
    }

    /** Marks what goes beyond its tenant's rate, second by second. */
    private void findSurplus(List<ClientRequest> asks) {
        for (int place = 0; place < played.scenario().tenants().size(); place++) {
            String name = played.scenario().tenants().get(place).name();
            double rate = played.settings().tenants().stream()
                    .filter(each -> each.name().equals(name))
                    .mapToDouble(TenantQuota::requestsPerSecond)
                    .findFirst()
                    .orElse(0);
            if (rate <= 0) {
                continue;
            }
            double tokens = rate;
            double lastMs = 0;
            for (ClientRequest ask : asks) {
                if (ask.tenant() == place) {
                    tokens = Math.min(rate, tokens + (ask.arrivedMs() - lastMs) / 1000 * rate);
                    lastMs = ask.arrivedMs();
                    if (tokens < 1) {
                        surplus.add(ask);
                    } else {
                        tokens--;
                    }
                }
            }
        }
    }

    private Verdict verdict() {
        findSurplus(played.asks());
        double warmMs = played.scenario().load().warmUpMs();
        List<ClientRequest> asks = played.asks().stream()
                .filter(ask -> ask.arrivedMs() >= warmMs && !ask.tries().isEmpty())
                .toList();
        double whole = share(asks);
        double worst = worstWindow(asks, warmMs, whole);
        double worstClass = worstOf(asks, classes.size(), ClientRequest::requestClass);
        List<ClientRequest> within =
                asks.stream().filter(ask -> !surplus.contains(ask)).toList();
        double worstTenant = worstOf(within, played.scenario().tenants().size(), ClientRequest::tenant);
        double asked = sum(asks, ClientRequest::workMs);
        double waste = asked == 0 ? 0 : wasted(warmMs) / asked;
        double late = sum(asks, ask -> !Double.isNaN(ask.servedMs()) && got(ask) <= 0 ? worth(ask) : 0)
                / Math.max(1e-9, sum(asks, this::worth));
        double service = WHOLE_WEIGHT * whole
                + WORST_WINDOW_WEIGHT * worst
                + WORST_CLASS_WEIGHT * worstClass
                + WORST_TENANT_WEIGHT * worstTenant
                - WASTE_PRICE * Math.min(1, waste)
                - LATE_PRICE * late;
        Histogram micros = new Histogram(MOST_MICROS, 3);
        asks.stream()
                .filter(ask -> !Double.isNaN(ask.servedMs()))
                .forEach(ask ->
                        micros.recordValue(Math.min(MOST_MICROS, (long) ((ask.servedMs() - ask.arrivedMs()) * 1000))));
        long attempts = played.recorder().attempts().stream()
                .filter(attempt -> attempt.tier() == 0 && attempt.beganMs() >= warmMs)
                .count();
        return new Verdict(
                service,
                whole,
                worst,
                worstClass,
                worstTenant,
                waste,
                late,
                asks.size(),
                count(asks, end -> end == ClientRequest.End.SERVED),
                count(asks, end -> end == ClientRequest.End.REFUSED),
                count(asks, end -> end == ClientRequest.End.FAILED || end == ClientRequest.End.UNREACHED),
                count(asks, end -> end == ClientRequest.End.LOST || end == ClientRequest.End.GIVEN_UP),
                attempts / (double) Math.max(1, asks.size()),
                micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(99) / 1e3,
                micros.getValueAtPercentile(99.9) / 1e3,
                played.broken().size(),
                played.broken().stream().limit(MOST_RULES).toList());
    }

    private static int count(List<ClientRequest> asks, Predicate<ClientRequest.End> end) {
        return (int) asks.stream().filter(ask -> end.test(ask.last().end())).count();
    }

    private double worstWindow(List<ClientRequest> asks, double warmMs, double whole) {
        double lastMs = asks.isEmpty() ? warmMs : asks.get(asks.size() - 1).arrivedMs();
        double mean = sum(asks, this::worth) * WINDOW_MS / Math.max(WINDOW_MS, lastMs - warmMs);
        double worst = whole;
        for (double from = warmMs; from + WINDOW_MS <= lastMs; from += STEP_MS) {
            double begin = from;
            List<ClientRequest> in = asks.stream()
                    .filter(ask -> ask.arrivedMs() >= begin && ask.arrivedMs() < begin + WINDOW_MS)
                    .toList();
            if (sum(in, this::worth) >= mean * THIN) {
                worst = Math.min(worst, share(in));
            }
        }
        return worst;
    }

    private double worstOf(List<ClientRequest> asks, int groups, ToIntFunction<ClientRequest> group) {
        double worst = 1;
        for (int i = 0; i < groups; i++) {
            int place = i;
            worst = Math.min(
                    worst,
                    share(asks.stream()
                            .filter(ask -> group.applyAsInt(ask) == place)
                            .toList()));
        }
        return groups == 0 ? share(asks) : worst;
    }

    /** Work of attempts that were begun and of which no client had anything. */
    private double wasted(double warmMs) {
        Set<String> served = new HashSet<>();
        played.asks()
                .forEach(ask -> ask.tries().stream()
                        .filter(each -> each.end() == ClientRequest.End.SERVED)
                        .forEach(each -> served.add(each.id())));
        double wasted = 0;
        for (AttemptRecorder.Attempt attempt : played.recorder().attempts()) {
            if (!Double.isNaN(attempt.ranMs()) && attempt.beganMs() >= warmMs && !useful(attempt, served)) {
                wasted += attempt.workMs();
            }
        }
        return wasted;
    }

    private static boolean useful(AttemptRecorder.Attempt attempt, Set<String> served) {
        if (!attempt.end().equals("served")) {
            return false;
        }
        return attempt.parent() == null ? served.contains(attempt.request()) : useful(attempt.parent(), served);
    }
}
