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

/**
 * Sends random events to a balancer. Its host checks each action against the rules, without access to the balancer's
 * state.
 */
class RandomEventsTest {

    /** A request as observed by the host. */
    private static final class ObservedRequest {
        final int classIndex;
        final double deadlineMs;
        final List<String> endpoints = new ArrayList<>();
        final List<Double> startedMs = new ArrayList<>();
        final List<AttemptOutcome> outcomes = new ArrayList<>();
        boolean responded;

        ObservedRequest(int classIndex, double deadlineMs) {
            this.classIndex = classIndex;
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
        final List<Double> timerDueMs = new ArrayList<>();
        final List<Long> timerNames = new ArrayList<>();
        double nowMs;
        int attemptsInFlight;

        RuleCheckingHost(BalancerSettings settings) {
            this.settings = settings;
        }

        @Override
        public void startAttempt(String requestId, String endpoint, double timeoutMs) {
            ObservedRequest request = observed.get(requestId);
            RequestClass requestClass = settings.classes().get(request.classIndex);
            assertFalse(request.responded, "attempt started after the final response of request " + requestId);
            assertEquals(
                    EndpointState.READY,
                    listed.get(endpoint).state(),
                    "attempt started at an endpoint that is not ready");
            assertTrue(
                    timeoutMs <= request.deadlineMs - nowMs + 1e-6, "attempt timeout ends after the client's deadline");
            assertTrue(request.outcomes.size() < settings.limits().maxAttempts(), "too many attempts");
            assertTrue(
                    settings.limits().parallelAttempts() || request.attemptsInFlight() == 0, "two attempts in flight");
            int first = request.firstPossibleExecution();
            if (first >= 0) {
                assertTrue(
                        requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                        "a non-idempotent request that may have run was retried");
                if (requestClass.idempotency() == Idempotency.KEYED) {
                    assertEquals(
                            listed.get(request.endpoints.get(first)).cell(),
                            listed.get(endpoint).cell(),
                            "retry outside the deduplication scope");
                    assertTrue(
                            nowMs - request.startedMs.get(first) < requestClass.deduplicationWindowMs(),
                            "retry after the deduplication window");
                }
            }
            request.endpoints.add(endpoint);
            request.startedMs.add(nowMs);
            request.outcomes.add(null);
            attemptsInFlight++;
            assertTrue(attemptsInFlight <= 256, "more than 256 attempts in flight");
        }

        @Override
        public void reject(String requestId, double retryAfterMs) {
            ObservedRequest request = observed.get(requestId);
            assertTrue(
                    settings.classes().get(request.classIndex).idempotency() == Idempotency.IDEMPOTENT
                            || request.firstPossibleExecution() < 0,
                    "rejected although it may have run");
            finish(request);
        }

        @Override
        public void fail(String requestId) {
            finish(observed.get(requestId));
        }

        private void finish(ObservedRequest request) {
            assertFalse(request.responded, "two final responses");
            assertTrue(nowMs <= request.deadlineMs, "final response after the deadline");
            request.responded = true;
        }

        @Override
        public void cancelAttempt(String requestId, int attempt) {
            assertTrue(attempt < observed.get(requestId).outcomes.size(), "cancelled an attempt that was not started");
        }

        @Override
        public void startTimer(double delayMs, long name) {
            timerDueMs.add(nowMs + delayMs);
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
    void actionsFollowRulesUnderRandomEvents(int seed) {
        Random random = new Random(seed);
        BalancerSettings settings = settings(random);
        RuleCheckingHost host = new RuleCheckingHost(settings);
        host.nowMs = 10_000;
        BoxcarLoadBalancer balancer = new BoxcarLoadBalancer(settings, seed, host);
        List<String> openRequestIds = new ArrayList<>();
        int requests = 0;
        for (int step = 0; step < 4000; step++) {
            host.nowMs += random.nextInt(12);
            fireTimers(host, balancer);
            timeOutOverdueAttempts(host, balancer, openRequestIds);
            int event = random.nextInt(20);
            if (event == 0 || step == 0) {
                updateEndpoints(host, balancer, random, step == 0);
            } else if (event < 9 && step < 3500) {
                String id = "q" + requests++;
                int classIndex = random.nextInt(settings.classes().size());
                double remainingMs = 1 + random.nextInt(3000);
                host.observed.put(id, new ObservedRequest(classIndex, host.nowMs + remainingMs));
                openRequestIds.add(id);
                balancer.onRequest(
                        host.nowMs,
                        new Request(
                                id,
                                classIndex,
                                settings.tenants().isEmpty() ? 0 : random.nextInt(2),
                                host.nowMs + remainingMs,
                                false));
            } else if (event < 10 && !openRequestIds.isEmpty()) {
                String id = openRequestIds.get(random.nextInt(openRequestIds.size()));
                host.observed.get(id).responded = true;
                balancer.onRequestCancelled(host.nowMs, id);
            } else if (!openRequestIds.isEmpty()) {
                String id = openRequestIds.get(random.nextInt(openRequestIds.size()));
                finishNextAttempt(host, balancer, id, AttemptOutcome.values()[random.nextInt(8)]);
            }
            openRequestIds.removeIf(id ->
                    host.observed.get(id).responded && host.observed.get(id).attemptsInFlight() == 0);
        }
        for (int i = 0; i < 400; i++) {
            host.nowMs += 50;
            fireTimers(host, balancer);
            timeOutOverdueAttempts(host, balancer, openRequestIds);
            openRequestIds.removeIf(id ->
                    host.observed.get(id).responded && host.observed.get(id).attemptsInFlight() == 0);
        }
        assertTrue(
                host.observed.values().stream().allMatch(request -> request.responded),
                "a request has no final response");
        assertTrue(openRequestIds.isEmpty());
        assertEquals(0, host.attemptsInFlight);
        assertEquals(0, balancer.requestsInFlight(), "requests remain in the balancer");
    }

    private static void fireTimers(RuleCheckingHost host, BoxcarLoadBalancer balancer) {
        for (int i = 0; i < host.timerDueMs.size(); i++) {
            if (host.timerDueMs.get(i) <= host.nowMs) {
                host.timerDueMs.remove(i);
                balancer.onTimer(host.nowMs, host.timerNames.remove(i));
                i = -1;
            }
        }
    }

    /**
     * Times out attempts at the client's deadline, as the host does. Attempts within 15 ms of the deadline are
     * included, because the clock advances by up to 11 ms per random step; in the closing loop, which advances by
     * 50 ms, overdue attempts end at their deadline.
     */
    private static void timeOutOverdueAttempts(
            RuleCheckingHost host, BoxcarLoadBalancer balancer, List<String> openRequestIds) {
        for (String id : List.copyOf(openRequestIds)) {
            ObservedRequest request = host.observed.get(id);
            if (request.deadlineMs <= host.nowMs + 15) {
                double nowMs = host.nowMs;
                host.nowMs = Math.min(nowMs, request.deadlineMs);
                while (request.attemptsInFlight() > 0) {
                    finishNextAttempt(host, balancer, id, AttemptOutcome.TIMED_OUT);
                }
                host.nowMs = nowMs;
            }
        }
    }

    private static void finishNextAttempt(
            RuleCheckingHost host, BoxcarLoadBalancer balancer, String id, AttemptOutcome outcome) {
        ObservedRequest request = host.observed.get(id);
        int attempt = request.outcomes.indexOf(null);
        if (attempt < 0) {
            return;
        }
        request.outcomes.set(attempt, outcome);
        host.attemptsInFlight--;
        boolean served = outcome == AttemptOutcome.OK && !request.responded;
        boolean concluded = request.responded || served;
        request.responded |= served;
        balancer.onAttemptFinished(
                host.nowMs,
                new AttemptResult(
                        id,
                        attempt,
                        request.endpoints.get(attempt),
                        outcome,
                        host.nowMs - request.startedMs.get(attempt),
                        concluded,
                        LoadReport.NONE));
    }

    private static void updateEndpoints(
            RuleCheckingHost host, BoxcarLoadBalancer balancer, Random random, boolean isSnapshot) {
        List<Endpoint> changes = new ArrayList<>();
        for (int i = 0; i < (isSnapshot ? 12 : 2); i++) {
            String id = "s" + (isSnapshot ? i : random.nextInt(15));
            EndpointState state = isSnapshot ? EndpointState.READY : EndpointState.values()[random.nextInt(3)];
            double startedMs = random.nextInt(4) == 0 ? host.nowMs - random.nextInt(9000) : 0;
            int endpointNumber = Integer.parseInt(id.substring(1));
            Endpoint endpoint = new Endpoint(id, endpointNumber % 2, 0, endpointNumber % 4, startedMs, state, 1);
            changes.add(endpoint);
            host.listed.put(id, endpoint);
        }
        balancer.onEndpointUpdate(
                host.nowMs, isSnapshot ? EndpointUpdateKind.CACHED : EndpointUpdateKind.DELTA, changes);
    }
}
