package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.DeduplicationScope;
import lemonrail.core.balancer.DrainSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.LoadBalancerHost;
import lemonrail.core.balancer.LoadReport;
import lemonrail.core.balancer.Request;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.SlowStartSettings;
import org.junit.jupiter.api.Test;

/** The README's example, which must compile and run. */
class EmbeddingExampleTest {

    @Test
    void sidecarCreatesAndDrivesABalancer() {
        RecordingHost recorder = new RecordingHost();
        LoadBalancerHost sidecar = recorder;
        // README: begin
        BalancerSettings settings = new BalancerSettings(
                3,
                0,
                0,
                0,
                false,
                false,
                0.1,
                0,
                List.of(new RequestClass(
                        "read", 300, 1000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false)),
                List.of(),
                new AttemptLimits(3, true, true, 2000, 250),
                new SlowStartSettings(0.3, 9000, 3, 1000),
                new DrainSettings(1000),
                10_000);
        BoxcarLoadBalancer balancer = new BoxcarLoadBalancer(settings, 42, sidecar);

        double now = 0;
        balancer.onEndpointUpdate(
                now,
                EndpointUpdateKind.SNAPSHOT,
                List.of(
                        new Endpoint("10.0.0.1:80", 0, 0, 0, 0, EndpointState.READY, 1),
                        new Endpoint("10.0.0.2:80", 0, 0, 0, 0, EndpointState.READY, 1)));
        balancer.onRequest(now, new Request("r1", 0, 0, now + 1000, false));
        // The balancer has called sidecar.startAttempt("r1", endpoint, timeoutMs): carry it out, then give the result.
        balancer.onAttemptFinished(
                now + 12, new AttemptResult("r1", 0, "10.0.0.1:80", AttemptOutcome.OK, 12, true, LoadReport.NONE));
        // README: end
        assertEquals(1, recorder.started.size());
        assertEquals(0, balancer.requestsInFlight());
    }
}
