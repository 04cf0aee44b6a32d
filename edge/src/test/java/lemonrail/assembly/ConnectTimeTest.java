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

/** The decisions are told which part of an attempt's time passed before its request was written whole. */
class ConnectTimeTest {

    private static final int DEADLINE_MS = 9000;
    private static final int HELD_MS = 40;
    private static final long HELD_NS = TimeUnit.MILLISECONDS.toNanos(HELD_MS);

    private final List<AttemptResult> ends = new CopyOnWriteArrayList<>();

    /** The project's own decider, with the ends of attempts noted on their way to it. */
    private LoadBalancerFactory noting() {
        return (settings, seed, host) -> {
            LoadBalancer decide = new BoxcarLoadBalancer(settings, seed, host);
            Class<?>[] kinds = {LoadBalancer.class};
            return (LoadBalancer) Proxy.newProxyInstance(
                    LoadBalancer.class.getClassLoader(), kinds, (proxy, method, arguments) -> {
                        if (method.getName().equals("onAttemptFinished")) {
                            ends.add((AttemptResult) arguments[1]);
                        }
                        return method.invoke(decide, arguments);
                    });
        };
    }

    private AttemptResult end(int number) throws InterruptedException {
        Rig.await("attempt " + number + " has ended", () -> ends.size() > number);
        return ends.get(number);
    }

    @Test
    void aLateConnectionIsTold() throws Exception {
        try (LateFake late = new LateFake();
                Rig rig = new Rig()) {
            rig.change = config -> config.replace(
                    "\"servers\":[]", "\"servers\":[" + Rig.line(0, late.address(), "in_service", 0) + "]");
            rig.start(noting());
            try (Wire client = rig.client()) {
                client.send(rig.request("order", DEADLINE_MS));
                Rig.await("it waits for its connection", () -> rig.inHand() == 1);
                long waits = System.nanoTime();
                Rig.await("some time", () -> System.nanoTime() - waits >= HELD_NS);
                late.release();
                assertEquals("late", client.read().body());
            }
            assertEquals(AttemptOutcome.OK, end(0).outcome());
            assertTrue(end(0).connectMs() >= HELD_MS, end(0).toString());
            assertTrue(end(0).connectMs() <= end(0).durationMs(), end(0).toString());
        }
    }

    @Test
    void aSlowAnswerOnAConnectionThatStandsIsTheEndpoints() throws Exception {
        CountDownLatch asked = new CountDownLatch(2);
        CountDownLatch release = new CountDownLatch(1);
        try (Fake slow = new Fake((wire, request) -> {
                    asked.countDown();
                    if (asked.getCount() == 0) {
                        release.await();
                    }
                    Fake.answer(wire, 200, "", "slow");
                });
                Rig rig = new Rig(slow).start(noting());
                Wire client = rig.client()) {
            client.send(rig.request("order", DEADLINE_MS)).read();
            rig.settle();
            client.send(rig.request("order", DEADLINE_MS));
            asked.await();
            long waits = System.nanoTime();
            Rig.await("some time", () -> System.nanoTime() - waits >= HELD_NS);
            release.countDown();
            client.read();
            assertEquals(1, slow.connections.get(), "one connection serves both");
            assertTrue(end(1).endpointTimeMs() >= HELD_MS, end(1).toString());
        }
    }

    @Test
    void whatWasNeverWrittenWasAllTheConnections() throws Exception {
        try (LateFake late = new LateFake();
                Rig rig = new Rig()) {
            rig.change = config -> config.replace(
                    "\"servers\":[]", "\"servers\":[" + Rig.line(0, late.address(), "in_service", 0) + "]");
            rig.start(noting());
            assertEquals(503, rig.ask("order", HELD_MS).status());
            assertEquals(AttemptOutcome.CONNECT_ERROR, end(0).outcome());
            assertEquals(end(0).durationMs(), end(0).connectMs());
        }
    }
}
