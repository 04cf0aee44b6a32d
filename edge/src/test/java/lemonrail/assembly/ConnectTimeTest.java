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

/** Attempt results tell how much of an attempt's time passed before its request was written. */
class ConnectTimeTest {

    private static final int DEADLINE_MS = 9000;
    private static final int HELD_MS = 40;
    private static final long HELD_NS = TimeUnit.MILLISECONDS.toNanos(HELD_MS);

    private final List<AttemptResult> results = new CopyOnWriteArrayList<>();

    /** The project's own load balancer, with the results of attempts recorded on their way to it. */
    private LoadBalancerFactory recording() {
        return (settings, seed, host) -> {
            LoadBalancer balancer = new BoxcarLoadBalancer(settings, seed, host);
            Class<?>[] kinds = {LoadBalancer.class};
            return (LoadBalancer) Proxy.newProxyInstance(
                    LoadBalancer.class.getClassLoader(), kinds, (proxy, method, arguments) -> {
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
                SidecarFixture rig = new SidecarFixture()) {
            rig.change = config -> config.replace(
                    "\"servers\":[]", "\"servers\":[" + SidecarFixture.line(0, late.address(), "in_service", 0) + "]");
            rig.start(recording());
            try (HttpTestConnection client = rig.client()) {
                client.send(rig.request("order", DEADLINE_MS));
                SidecarFixture.await("it waits for its connection", () -> rig.openRequests() == 1);
                long waits = System.nanoTime();
                SidecarFixture.await("some time", () -> System.nanoTime() - waits >= HELD_NS);
                late.release();
                assertEquals("late", client.read().body());
            }
            assertEquals(AttemptOutcome.OK, result(0).outcome());
            assertTrue(result(0).connectMs() >= HELD_MS, result(0).toString());
            assertTrue(
                    result(0).connectMs() <= result(0).durationMs(), result(0).toString());
        }
    }

    @Test
    void slowResponseOnAnOpenConnectionCountsAsEndpointTime() throws Exception {
        CountDownLatch asked = new CountDownLatch(2);
        CountDownLatch release = new CountDownLatch(1);
        try (StubEndpoint slow = new StubEndpoint((wire, request) -> {
                    asked.countDown();
                    if (asked.getCount() == 0) {
                        release.await();
                    }
                    StubEndpoint.respond(wire, 200, "", "slow");
                });
                SidecarFixture rig = new SidecarFixture(slow).start(recording());
                HttpTestConnection client = rig.client()) {
            client.send(rig.request("order", DEADLINE_MS)).read();
            rig.settle();
            client.send(rig.request("order", DEADLINE_MS));
            asked.await();
            long waits = System.nanoTime();
            SidecarFixture.await("some time", () -> System.nanoTime() - waits >= HELD_NS);
            release.countDown();
            client.read();
            assertEquals(1, slow.connections.get(), "one connection serves both");
            assertTrue(result(1).endpointTimeMs() >= HELD_MS, result(1).toString());
        }
    }

    @Test
    void requestNeverWrittenIsAllConnectTime() throws Exception {
        try (LateStubEndpoint late = new LateStubEndpoint();
                SidecarFixture rig = new SidecarFixture()) {
            rig.change = config -> config.replace(
                    "\"servers\":[]", "\"servers\":[" + SidecarFixture.line(0, late.address(), "in_service", 0) + "]");
            rig.start(recording());
            assertEquals(503, rig.ask("order", HELD_MS).status());
            assertEquals(AttemptOutcome.CONNECT_ERROR, result(0).outcome());
            assertEquals(result(0).durationMs(), result(0).connectMs());
        }
    }
}
