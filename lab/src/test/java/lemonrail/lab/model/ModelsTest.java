package lemonrail.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import lemonrail.lab.model.Clients.ClassProfile;
import lemonrail.lab.model.Clients.Retrying;
import lemonrail.lab.model.Registry.Entry;
import lemonrail.lab.model.Registry.State;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Tests the models of clients, arrivals and discovery. */
class ModelsTest {

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(5L);

    private long countArrivals(Arrivals arrivals, double fromMs, double toMs) {
        return IntStream.iterate(0, i -> i + 1)
                .mapToDouble(i -> arrivals.nextMs())
                .takeWhile(at -> at < toMs)
                .filter(at -> at >= fromMs)
                .count();
    }

    @Test
    void burstMultipliesTheRateForItsLength() {
        Arrivals even = new Arrivals(100, Arrivals.Spacing.EVEN, random);
        even.addBurst(10_000, 5000, 2.5);
        assertEquals(1250, (float) countArrivals(even, 10_000, 15_000), 2);
        Arrivals poisson = new Arrivals(100, Arrivals.Spacing.POISSON, random);
        poisson.addBurst(10_000, 50_000, 2);
        assertEquals(10_000, (float) countArrivals(poisson, 10_000, 60_000), 300);
    }

    private Clients clients(Retrying retrying, List<Double> sentAtMs, ClientRequest.End... ends) {
        Clients.Settings settings = new Clients.Settings(
                List.of(new ClassProfile(1000, true, 1, 10)), List.of(1.0), retrying, 0.5, 1, false);
        int[] tries = new int[1];
        return new Clients(
                scheduler,
                settings,
                new Arrivals(10, Arrivals.Spacing.EVEN, random),
                150,
                random,
                (request, id, patience, reply) -> {
                    assertTrue(patience >= 500 && patience <= 1000);
                    sentAtMs.add(scheduler.nowMs());
                    ClientRequest.End end = ends[tries[0]++];
                    scheduler.after(
                            10, () -> reply.ended(end, 503, end == ClientRequest.End.REFUSED ? 700 : Double.NaN));
                });
    }

    @Test
    void retriesBackOffAndBelongToTheFirstTry() {
        List<Double> sentAtMs = new ArrayList<>();
        Clients clients = clients(
                new Retrying(3, 100, 2, false),
                sentAtMs,
                ClientRequest.End.FAILED,
                ClientRequest.End.REFUSED,
                ClientRequest.End.LOST,
                ClientRequest.End.SERVED);
        clients.start();
        scheduler.runUntil(10_000);
        assertEquals(List.of(100.0, 210.0, 420.0, 830.0), sentAtMs);
        assertEquals(1, clients.requests().size());
        assertEquals(840, clients.requests().get(0).servedMs(), 1e-6);
        assertEquals(4, clients.requests().get(0).tries().size());
        assertTrue(clients.isFinished());
    }

    @Test
    void clientsWaitForRetryAfterIfConfigured() {
        List<Double> sentAtMs = new ArrayList<>();
        Clients clients =
                clients(new Retrying(1, 100, 1, true), sentAtMs, ClientRequest.End.REFUSED, ClientRequest.End.REFUSED);
        clients.start();
        scheduler.runUntil(10_000);
        assertEquals(List.of(100.0, 810.0), sentAtMs);
        assertTrue(Double.isNaN(clients.requests().get(0).servedMs()));
    }

    @Test
    void clientThatGaveUpDoesNotRetry() {
        List<Double> sentAtMs = new ArrayList<>();
        clients(new Retrying(3, 100, 1, true), sentAtMs, ClientRequest.End.GIVEN_UP)
                .start();
        scheduler.runUntil(10_000);
        assertEquals(1, sentAtMs.size());
    }

    private Registry registry(boolean pushed) {
        Registry registry = new Registry(scheduler, random, pushed, 500, 100, 300);
        registry.set(new Entry("a", State.IN_SERVICE, Double.NEGATIVE_INFINITY));
        registry.set(new Entry("b", State.IN_SERVICE, Double.NEGATIVE_INFINITY));
        return registry;
    }

    private static List<String> ids(Registry.Response response) {
        return response.entries().stream()
                .map(entry -> entry.id() + " " + entry.state())
                .toList();
    }

    @Test
    void watchReturnsOnlyChangesAfterTheLag() {
        Registry registry = registry(true);
        scheduler.runUntil(1000);
        List<String> receivedIds = new ArrayList<>();
        Registry.Agent agent = registry.agent(entry -> receivedIds.add(entry.id()));
        List<Registry.Response> responses = new ArrayList<>();
        agent.fetchAll(responses::add);
        assertEquals(List.of("a IN_SERVICE", "b IN_SERVICE"), ids(responses.get(0)));
        agent.watch(responses.get(0).version(), 20_000, responses::add);
        registry.set(new Entry("b", State.TERMINATING, 0));
        scheduler.runUntil(1099);
        assertEquals(1, responses.size());
        scheduler.runUntil(1301);
        assertFalse(responses.get(1).full());
        assertEquals(List.of("b TERMINATING"), ids(responses.get(1)));
        assertEquals(List.of("a", "b", "b"), receivedIds);
        agent.watch(responses.get(1).version(), 2000, responses::add);
        scheduler.runUntil(3301);
        assertEquals(List.of(), ids(responses.get(2)), "a watch without changes ends with an empty response");
    }

    @Test
    void unreachableRegistryAnswersOnlyAfterItIsReachableAgain() {
        Registry registry = registry(true);
        scheduler.runUntil(1000);
        Registry.Agent agent = registry.agent(entry -> {});
        List<Registry.Response> responses = new ArrayList<>();
        agent.fetchAll(responses::add);
        registry.setReachable(false);
        agent.fetchAll(responses::add);
        agent.watch(responses.get(0).version(), 500, responses::add);
        registry.set(new Entry("a", State.TERMINATED, 0));
        scheduler.runUntil(5000);
        assertEquals(1, responses.size());
        registry.setReachable(true);
        assertEquals(List.of("a TERMINATED"), ids(responses.get(1)));
    }

    @Test
    void restartedRegistrySendsAFullListToWatches() {
        Registry registry = registry(true);
        scheduler.runUntil(1000);
        Registry.Agent agent = registry.agent(entry -> {});
        List<Registry.Response> responses = new ArrayList<>();
        agent.fetchAll(responses::add);
        agent.watch(responses.get(0).version(), 20_000, responses::add);
        registry.restart();
        assertTrue(responses.get(1).full());
        assertEquals(1, responses.get(1).version());
        assertEquals(2, responses.get(1).entries().size());
    }

    @Test
    void hiddenEntriesAreLeftOutAndReturn() {
        Registry registry = registry(true);
        scheduler.runUntil(1000);
        Registry.Agent agent = registry.agent(entry -> {});
        List<Registry.Response> responses = new ArrayList<>();
        registry.hide(List.of("a"), true);
        agent.fetchAll(responses::add);
        registry.hide(List.of("a"), false);
        agent.fetchAll(responses::add);
        assertEquals(List.of("b IN_SERVICE"), ids(responses.get(0)));
        assertEquals(List.of("b IN_SERVICE", "a IN_SERVICE"), ids(responses.get(1)));
    }

    @Test
    void polledListIsAsOldAsTheLastPoll() {
        Registry registry = registry(false);
        Registry.Agent agent = registry.agent(entry -> {});
        List<Registry.Response> responses = new ArrayList<>();
        registry.set(new Entry("b", State.TERMINATED, 0));
        scheduler.runUntil(499);
        agent.fetchAll(responses::add);
        scheduler.runUntil(501);
        agent.fetchAll(responses::add);
        assertEquals(2, responses.get(0).entries().size());
        assertEquals(1, responses.get(1).entries().size());
    }
}
