package lemonrail.simulator;

import java.util.Map;
import lemonrail.core.SettingsReader;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.core.balancer.LoadBalancerHost;
import lemonrail.core.policy.BoxcarLoadBalancer;

/** One simulated sidecar: its load balancer, and the host that writes the balancer's actions as replies. */
final class SimulatedInstance implements LoadBalancerHost {

    private final ReplyWriter replies;
    private final LoadBalancer balancer;

    /**
     * Starts an instance.
     *
     * @param settings the load balancer's settings in the platform's form
     * @param seed of the balancer's random numbers
     */
    SimulatedInstance(Map<String, Object> settings, long seed, ReplyWriter replies) {
        this.replies = replies;
        balancer = new BoxcarLoadBalancer(SettingsReader.read(settings), seed, this);
    }

    LoadBalancer balancer() {
        return balancer;
    }

    @Override
    public void startAttempt(String requestId, String endpointId, double timeoutMs) {
        replies.startAction("HandOff")
                .field(WireNames.REQUEST_ID, requestId)
                .field(WireNames.ENDPOINT_ID, endpointId)
                .field(WireNames.TIMEOUT_MS, timeoutMs)
                .end();
    }

    @Override
    public void reject(String requestId, double retryAfterMs) {
        replies.startAction("NotNow")
                .field(WireNames.REQUEST_ID, requestId)
                .field(WireNames.RETRY_AFTER_MS, retryAfterMs)
                .end();
    }

    @Override
    public void fail(String requestId) {
        replies.startAction("Error").field(WireNames.REQUEST_ID, requestId).end();
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
        replies.startAction("DropAttempt")
                .field(WireNames.REQUEST_ID, requestId)
                .field(WireNames.ATTEMPT, attempt)
                .end();
    }

    @Override
    public void startTimer(double delayMs, long name) {
        replies.startAction("NotifyMe")
                .field(WireNames.DELAY_MS, delayMs)
                .field(WireNames.TIMER_NAME, (double) name)
                .end();
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        replies.startAction("Disconnect")
                .field(WireNames.ENDPOINT_ID, endpointId)
                .end();
    }

    @Override
    public void pollEndpoints() {
        replies.startAction("Observe").field(WireNames.ENABLE, true).end();
    }

    @Override
    public void log(String line) {
        replies.startAction("Remark").field(WireNames.LOG_LINE, line).end();
    }
}
