package lemonrail.simulator;

import java.util.List;
import java.util.Map;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.core.balancer.LoadReport;
import lemonrail.core.balancer.Request;

/**
 * One event of a batch. Values are checked as an event is acted on, not as it is read: an error then names the
 * first event that is wrong.
 */
sealed interface SimulatorEvent {

    /** Defines the endpoint list with this number for all instances. */
    record ListDefined(int listNumber, List<Endpoint> endpoints) implements SimulatorEvent {}

    /** Starts an instance. */
    record InstanceStarted(Map<String, Object> settings, long seed) implements SimulatorEvent {}

    /** Stops an instance. */
    record InstanceStopped() implements SimulatorEvent {}

    /** Gives an instance the endpoint list with this number. */
    record EndpointsUpdated(int updateKind, int listNumber) implements SimulatorEvent {}

    /** An event of a kind that this adapter does not know. */
    record Unknown(String kind) implements SimulatorEvent {}

    /** An event that a running instance's balancer takes in as it is. */
    sealed interface BalancerEvent extends SimulatorEvent {

        /** Hands the event to the balancer. */
        void deliver(LoadBalancer balancer, double nowMs) throws MalformedBatchException;
    }

    /** A client has sent a request. */
    record RequestReceived(String requestId, int requestClass, int tenant, double deadlineMs, boolean retriedByClient)
            implements BalancerEvent {
        @Override
        public void deliver(LoadBalancer balancer, double nowMs) {
            balancer.onRequest(nowMs, new Request(requestId, requestClass, tenant, deadlineMs, retriedByClient));
        }
    }

    /** A streamed response has begun. */
    record ResponseStreamStarted(String requestId, int attempt) implements BalancerEvent {
        @Override
        public void deliver(LoadBalancer balancer, double nowMs) {
            balancer.onResponseStreamStarted(nowMs, requestId, attempt);
        }
    }

    /** An attempt has ended; {@code outcome} is the protocol's name for how. */
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

    /** A client has left. */
    record RequestCancelled(String requestId) implements BalancerEvent {
        @Override
        public void deliver(LoadBalancer balancer, double nowMs) {
            balancer.onRequestCancelled(nowMs, requestId);
        }
    }

    /** A timer is due. */
    record TimerFired(long name) implements BalancerEvent {
        @Override
        public void deliver(LoadBalancer balancer, double nowMs) {
            balancer.onTimer(nowMs, name);
        }
    }

    /** An event that the balancer never asks for: a probe's result, or a message of another instance. */
    record Unrequested() implements BalancerEvent {
        @Override
        public void deliver(LoadBalancer balancer, double nowMs) {}
    }
}
