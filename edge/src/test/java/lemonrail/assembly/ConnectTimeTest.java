package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.core.balancer.LoadBalancerFactory;
import lemonrail.core.policy.BoxcarLoadBalancer;
import org.junit.jupiter.api.Test;

/** Attempt results state how much of the duration of an attempt passed before its request was written. */
class ConnectTimeTest {

    private static final int DEADLINE_MS = 9000;
    private static final int DELAY_MS = 40;
    private static final long DELAY_NS = TimeUnit.MILLISECONDS.toNanos(DELAY_MS);

    private final List<AttemptResult> results = new CopyOnWriteArrayList<>();

    /** Creates the project's load balancers, and records the attempt results that they are given. */
    private LoadBalancerFactory recording() {
        return (settings, seed, host) -> {
            LoadBalancer balancer = new BoxcarLoadBalancer(settings, seed, host);
            Class<?>[] interfaces = {LoadBalancer.class};
            return (LoadBalancer) Proxy.newProxyInstance(
                    LoadBalancer.class.getClassLoader(), interfaces, (proxy, method, arguments) -> {
                        if (method.getName().equals("onAttemptFinished")) {
                            results.add((AttemptResult) arguments[1]);
                        }
                        return method.invoke(balancer, arguments);
                    });
        };
    }

    private AttemptResult result(int number) throws InterruptedException {
        SidecarFixture.await("attempt " + number + " has ended", () -> results.size() > number);
        return results.get(number);
    }

    @Test
    void slowConnectCountsAsConnectTime() throws Exception {
        try (LateStubEndpoint late = new LateStubEndpoint();
                SidecarFixture fixture = new SidecarFixture()) {
            fixture.configChange = config -> config.replace(
                    "\"servers\":[]",
                    "\"servers\":[" + SidecarFixture.endpointJson(0, late.address(), "in_service", 0) + "]");
            fixture.start(recording());
            try (HttpTestConnection client = fixture.client()) {
                client.send(fixture.request("order", DEADLINE_MS));
                SidecarFixture.await("the attempt waits for its connection", () -> fixture.openRequests() == 1);
                long startNs = System.nanoTime();
                SidecarFixture.await("the delay has passed", () -> System.nanoTime() - startNs >= DELAY_NS);
                late.release();
                assertEquals("late", client.read().body());
            }
            assertEquals(AttemptOutcome.OK, result(0).outcome());
            assertTrue(result(0).connectMs() >= DELAY_MS, result(0).toString());
            assertTrue(
                    result(0).connectMs() <= result(0).durationMs(), result(0).toString());
        }
    }

    @Test
    void slowResponseOnAnOpenConnectionCountsAsEndpointTime() throws Exception {
        CountDownLatch requestsReceived = new CountDownLatch(2);
        CountDownLatch release = new CountDownLatch(1);
        try (StubEndpoint slow = new StubEndpoint((connection, request) -> {
                    requestsReceived.countDown();
                    if (requestsReceived.getCount() == 0) {
                        release.await();
                    }
                    StubEndpoint.respond(connection, 200, "", "slow");
                });
                SidecarFixture fixture = new SidecarFixture(slow).start(recording());
                HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS)).read();
            fixture.awaitReusableConnections();
            client.send(fixture.request("order", DEADLINE_MS));
            requestsReceived.await();
            long startNs = System.nanoTime();
            SidecarFixture.await("the delay has passed", () -> System.nanoTime() - startNs >= DELAY_NS);
            release.countDown();
            client.read();
            assertEquals(1, slow.connections.get(), "both requests use one connection");
            assertTrue(result(1).endpointTimeMs() >= DELAY_MS, result(1).toString());
        }
    }

    @Test
    void durationIsAllConnectTimeIfNoRequestIsWritten() throws Exception {
        try (LateStubEndpoint late = new LateStubEndpoint();
                SidecarFixture fixture = new SidecarFixture()) {
            fixture.configChange = config -> config.replace(
                    "\"servers\":[]",
                    "\"servers\":[" + SidecarFixture.endpointJson(0, late.address(), "in_service", 0) + "]");
            fixture.start(recording());
            assertEquals(503, fixture.sendRequest("order", DELAY_MS).status());
            assertEquals(AttemptOutcome.CONNECT_ERROR, result(0).outcome());
            assertEquals(result(0).durationMs(), result(0).connectMs());
        }
    }
}
