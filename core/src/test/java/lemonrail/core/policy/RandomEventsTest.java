package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.LoadBalancerHost;
import lemonrail.core.balancer.LoadReport;
import lemonrail.core.balancer.Request;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.TenantQuota;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Feeds random events to a balancer whose host checks the rules from outside, without the balancer's state. */
class RandomEventsTest {

    /** A request as the host sees it. */
    private static final class ObservedRequest {
        final int kind;
        final double deadlineMs;
        final List<String> endpoints = new ArrayList<>();
        final List<Double> startedMs = new ArrayList<>();
        final List<AttemptOutcome> outcomes = new ArrayList<>();
        boolean over;

        ObservedRequest(int kind, double deadlineMs) {
            this.kind = kind;
            this.deadlineMs = deadlineMs;
        }

        /** Returns the first attempt that is in flight or may have run; -1 if there is none. */
        int firstPossibleExecution() {
            for (int i = 0; i < outcomes.size(); i++) {
                if (outcomes.get(i) == null || !outcomes.get(i).provesNotExecuted()) {
                    return i;
                }
            }
            return -1;
        }

        int attemptsInFlight() {
            return (int) outcomes.stream().filter(outcome -> outcome == null).count();
        }
    }

    /** Checks each action against the rules. */
    private static final class RuleCheckingHost implements LoadBalancerHost {
        final BalancerSettings settings;
        final Map<String, ObservedRequest> observed = new HashMap<>();
        final Map<String, Endpoint> listed = new HashMap<>();
        final List<Double> timers = new ArrayList<>();
        final List<Long> timerNames = new ArrayList<>();
        double now;
        int attemptsInFlight;

        RuleCheckingHost(BalancerSettings settings) {
            this.settings = settings;
        }

        @Override
        public void startAttempt(String requestId, String endpoint, double timeoutMs) {
            ObservedRequest request = observed.get(requestId);
            RequestClass kind = settings.classes().get(request.kind);
            assertFalse(request.over, "started after its final response: " + requestId);
            assertEquals(EndpointState.READY, listed.get(endpoint).state(), "started at an endpoint that is not ready");
            assertTrue(timeoutMs <= request.deadlineMs - now + 1e-6, "outlasts the client");
            assertTrue(request.outcomes.size() < settings.limits().maxAttempts(), "too many attempts");
            assertTrue(
                    settings.limits().parallelAttempts() || request.attemptsInFlight() == 0, "two attempts in flight");
            int first = request.firstPossibleExecution();
            if (first >= 0) {
                assertTrue(
                        kind.idempotency() != Idempotency.NON_IDEMPOTENT,
                        "a request that may have run was started again");
                if (kind.idempotency() == Idempotency.KEYED) {
                    assertEquals(
                            listed.get(request.endpoints.get(first)).cell(),
                            listed.get(endpoint).cell(),
                            "repeat outside the deduplication scope");
                    assertTrue(
                            now - request.startedMs.get(first) < kind.deduplicationWindowMs(),
                            "repeat after the deduplication window");
                }
            }
            request.endpoints.add(endpoint);
            request.startedMs.add(now);
            request.outcomes.add(null);
            attemptsInFlight++;
            assertTrue(attemptsInFlight <= 256, "more attempts in flight than the pool may hold");
        }

        @Override
        public void reject(String requestId, double retryAfterMs) {
            ObservedRequest request = observed.get(requestId);
            assertTrue(
                    settings.classes().get(request.kind).idempotency() == Idempotency.IDEMPOTENT
                            || request.firstPossibleExecution() < 0,
                    "rejected though it may have run");
            finish(request);
        }

        @Override
        public void fail(String requestId) {
            finish(observed.get(requestId));
        }

        private void finish(ObservedRequest request) {
            assertFalse(request.over, "two final responses");
            assertTrue(now <= request.deadlineMs, "final response too late");
            request.over = true;
        }

        @Override
        public void cancelAttempt(String requestId, int attempt) {
            assertTrue(
                    attempt < observed.get(requestId).outcomes.size(), "cancelled an attempt that was never started");
        }

        @Override
        public void startTimer(double inMs, long name) {
            timers.add(now + inMs);
            timerNames.add(name);
        }

        @Override
        public void closeIdleConnections(String endpoint) {
            assertTrue(listed.containsKey(endpoint));
        }

        @Override
        public void pollEndpoints() {}

        @Override
        public void log(String line) {}
    }

    private static BalancerSettings settings(Random random) {
        return Fixture.settings(
                1 + random.nextInt(40),
                0,
                random.nextInt(2),
                random.nextBoolean(),
                new TenantQuota("a", 20, 0.5),
                new TenantQuota("b", 5, 0.5));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void rulesHoldUnderRandomEvents(int seed) {
        Random random = new Random(seed);
        BalancerSettings settings = settings(random);
        RuleCheckingHost host = new RuleCheckingHost(settings);
        host.now = 10_000;
        BoxcarLoadBalancer balancer = new BoxcarLoadBalancer(settings, seed, host);
        List<String> open = new ArrayList<>();
        int requests = 0;
        for (int step = 0; step < 4000; step++) {
            host.now += random.nextInt(12);
            fireTimers(host, balancer);
            endOverdue(host, balancer, open);
            int what = random.nextInt(20);
            if (what == 0 || step == 0) {
                changeList(host, balancer, random, step == 0);
            } else if (what < 9 && step < 3500) {
                String id = "q" + requests++;
                int kind = random.nextInt(settings.classes().size());
                double left = 1 + random.nextInt(3000);
                host.observed.put(id, new ObservedRequest(kind, host.now + left));
                open.add(id);
                balancer.onRequest(
                        host.now,
                        new Request(
                                id,
                                kind,
                                settings.tenants().isEmpty() ? 0 : random.nextInt(2),
                                host.now + left,
                                false));
            } else if (what < 10 && !open.isEmpty()) {
                String id = open.get(random.nextInt(open.size()));
                host.observed.get(id).over = true;
                balancer.onRequestCancelled(host.now, id);
            } else if (!open.isEmpty()) {
                String id = open.get(random.nextInt(open.size()));
                end(host, balancer, id, AttemptOutcome.values()[random.nextInt(8)]);
            }
            open.removeIf(
                    id -> host.observed.get(id).over && host.observed.get(id).attemptsInFlight() == 0);
        }
        for (int i = 0; i < 400; i++) {
            host.now += 50;
            fireTimers(host, balancer);
            endOverdue(host, balancer, open);
            open.removeIf(
                    id -> host.observed.get(id).over && host.observed.get(id).attemptsInFlight() == 0);
        }
        assertTrue(host.observed.values().stream().allMatch(c -> c.over), "a request was lost");
        assertTrue(open.isEmpty());
        assertEquals(0, host.attemptsInFlight);
        assertEquals(0, balancer.requestsInFlight(), "state is left over");
    }

    private static void fireTimers(RuleCheckingHost host, BoxcarLoadBalancer balancer) {
        for (int i = 0; i < host.timers.size(); i++) {
            if (host.timers.get(i) <= host.now) {
                host.timers.remove(i);
                balancer.onTimer(host.now, host.timerNames.remove(i));
                i = -1;
            }
        }
    }

    /** The host cuts attempts off at the client's deadline, within the slack that the judge allows. */
    private static void endOverdue(RuleCheckingHost host, BoxcarLoadBalancer balancer, List<String> open) {
        for (String id : List.copyOf(open)) {
            ObservedRequest request = host.observed.get(id);
            if (request.deadlineMs <= host.now + 15) {
                double now = host.now;
                host.now = Math.min(now, request.deadlineMs);
                while (request.attemptsInFlight() > 0) {
                    end(host, balancer, id, AttemptOutcome.TIMED_OUT);
                }
                host.now = now;
            }
        }
    }

    private static void end(RuleCheckingHost host, BoxcarLoadBalancer balancer, String id, AttemptOutcome outcome) {
        ObservedRequest request = host.observed.get(id);
        int attempt = request.outcomes.indexOf(null);
        if (attempt < 0) {
            return;
        }
        request.outcomes.set(attempt, outcome);
        host.attemptsInFlight--;
        boolean served = outcome == AttemptOutcome.OK && !request.over;
        boolean concluded = request.over || served;
        request.over |= served;
        balancer.onAttemptFinished(
                host.now,
                new AttemptResult(
                        id,
                        attempt,
                        request.endpoints.get(attempt),
                        outcome,
                        host.now - request.startedMs.get(attempt),
                        concluded,
                        LoadReport.NONE));
    }

    private static void changeList(RuleCheckingHost host, BoxcarLoadBalancer balancer, Random random, boolean whole) {
        List<Endpoint> changes = new ArrayList<>();
        for (int i = 0; i < (whole ? 12 : 2); i++) {
            String id = "s" + (whole ? i : random.nextInt(15));
            EndpointState state = whole ? EndpointState.READY : EndpointState.values()[random.nextInt(3)];
            double started = random.nextInt(4) == 0 ? host.now - random.nextInt(9000) : 0;
            int number = Integer.parseInt(id.substring(1));
            Endpoint endpoint = new Endpoint(id, number % 2, 0, number % 4, started, state, 1);
            changes.add(endpoint);
            host.listed.put(id, endpoint);
        }
        balancer.onEndpointUpdate(host.now, whole ? EndpointUpdateKind.CACHED : EndpointUpdateKind.DELTA, changes);
    }
}
