package lemonrail.simulator;

import java.util.Map;
import lemonrail.core.SettingsReader;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.core.balancer.LoadBalancerHost;
import lemonrail.core.policy.BoxcarLoadBalancer;

/** One simulated sidecar: its load balancer, and the host that writes the balancer's actions into the reply. */
final class SimulatedInstance implements LoadBalancerHost {

    private final ReplyWriter replies;
    private final LoadBalancer balancer;

    /**
     * Creates an instance and its load balancer.
     *
     * @param settings the load balancer's settings in the platform's JSON format
     * @param seed the seed of the balancer's random numbers
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
                .addField(WireNames.REQUEST_ID, requestId)
                .addField(WireNames.ENDPOINT_ID, endpointId)
                .addField(WireNames.TIMEOUT_MS, timeoutMs)
                .end();
    }

    @Override
    public void reject(String requestId, double retryAfterMs) {
        replies.startAction("NotNow")
                .addField(WireNames.REQUEST_ID, requestId)
                .addField(WireNames.RETRY_AFTER_MS, retryAfterMs)
                .end();
    }

    @Override
    public void fail(String requestId) {
        replies.startAction("Error").addField(WireNames.REQUEST_ID, requestId).end();
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
        replies.startAction("DropAttempt")
                .addField(WireNames.REQUEST_ID, requestId)
                .addField(WireNames.ATTEMPT, attempt)
                .end();
    }

    @Override
    public void startTimer(double delayMs, long name) {
        replies.startAction("NotifyMe")
                .addField(WireNames.DELAY_MS, delayMs)
                .addField(WireNames.TIMER_NAME, (double) name)
                .end();
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        replies.startAction("Disconnect")
                .addField(WireNames.ENDPOINT_ID, endpointId)
                .end();
    }

    @Override
    public void pollEndpoints() {
        replies.startAction("Observe").addField(WireNames.ENABLE, true).end();
    }

    @Override
    public void log(String line) {
        replies.startAction("Remark").addField(WireNames.LOG_LINE, line).end();
    }
}
