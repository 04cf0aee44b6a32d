package lemonrail.simulator;

import java.util.List;
import java.util.Map;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.core.balancer.LoadReport;
import lemonrail.core.balancer.Request;

/**
 * One event of a batch. Values are checked when the event is handled, not when it is read, so that an error is
 * reported for the first invalid event in order.
 */
sealed interface SimulatorEvent {

    /** Defines or replaces the endpoint list with this number, for all instances. */
    record ListDefined(int listNumber, List<Endpoint> endpoints) implements SimulatorEvent {}

    /** Starts an instance. */
    record InstanceStarted(Map<String, Object> settings, long seed) implements SimulatorEvent {}

    /** Stops an instance. */
    record InstanceStopped() implements SimulatorEvent {}

    /** Updates an instance's endpoints with the endpoint list of this number. */
    record EndpointsUpdated(int updateKind, int listNumber) implements SimulatorEvent {}

    /** An event whose kind this adapter does not know; it is skipped. */
    record Unknown(String kind) implements SimulatorEvent {}

    /** An event that is passed directly to the load balancer of a running instance. */
    sealed interface BalancerEvent extends SimulatorEvent {

        /** Passes the event to the balancer. */
        void deliver(LoadBalancer balancer, double nowMs) throws MalformedBatchException;
    }

    /** A request has arrived from a client. */
    record RequestReceived(String requestId, int requestClass, int tenant, double deadlineMs, boolean retriedByClient)
            implements BalancerEvent {
        @Override
        public void deliver(LoadBalancer balancer, double nowMs) {
            balancer.onRequest(nowMs, new Request(requestId, requestClass, tenant, deadlineMs, retriedByClient));
        }
    }

    /** An endpoint has started a streamed response. */
    record ResponseStreamStarted(String requestId, int attempt) implements BalancerEvent {
        @Override
        public void deliver(LoadBalancer balancer, double nowMs) {
            balancer.onResponseStreamStarted(nowMs, requestId, attempt);
        }
    }

    /** An attempt has ended; {@code outcome} is the protocol's name of its outcome. */
    record AttemptFinished(
            String requestId,
            int attempt,
            String endpointId,
            String outcome,
            double durationMs,
            boolean concluded,
            LoadReport load)
            implements BalancerEvent {
        @Override
        public void deliver(LoadBalancer balancer, double nowMs) throws MalformedBatchException {
            balancer.onAttemptFinished(
                    nowMs,
                    new AttemptResult(
                            requestId, attempt, endpointId, WireNames.outcome(outcome), durationMs, concluded, load));
        }
    }

    /** A client has cancelled its request. */
    record RequestCancelled(String requestId) implements BalancerEvent {
        @Override
        public void deliver(LoadBalancer balancer, double nowMs) {
            balancer.onRequestCancelled(nowMs, requestId);
        }
    }

    /** A timer has fired. */
    record TimerFired(long name) implements BalancerEvent {
        @Override
        public void deliver(LoadBalancer balancer, double nowMs) {
            balancer.onTimer(nowMs, name);
        }
    }

    /** An event that the balancer never requests, and ignores: a probe's result, or another instance's message. */
    record Unrequested() implements BalancerEvent {
        @Override
        public void deliver(LoadBalancer balancer, double nowMs) {}
    }
}
