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

/** Clients, arrivals and discovery. */
class ModelsTest {

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(5L);

    private long arrivals(Arrivals arrivals, double fromMs, double toMs) {
        return IntStream.iterate(0, i -> i + 1)
                .mapToDouble(i -> arrivals.nextMs())
                .takeWhile(at -> at < toMs)
                .filter(at -> at >= fromMs)
                .count();
    }

    @Test
    void aBurstMultipliesTheRateWhileItLasts() {
        Arrivals even = new Arrivals(100, Arrivals.Spacing.EVEN, random);
        even.addBurst(10_000, 5000, 2.5);
        assertEquals(1250, (float) arrivals(even, 10_000, 15_000), 2);
        Arrivals poisson = new Arrivals(100, Arrivals.Spacing.POISSON, random);
        poisson.addBurst(10_000, 50_000, 2);
        assertEquals(10_000, (float) arrivals(poisson, 10_000, 60_000), 300);
    }

    private Clients clients(Retrying retrying, List<Double> sent, ClientRequest.End... ends) {
        Clients.Settings shape = new Clients.Settings(
                List.of(new ClassProfile(1000, true, 1, 10)), List.of(1.0), retrying, 0.5, 1, false);
        int[] tries = new int[1];
        return new Clients(
                scheduler,
                shape,
                new Arrivals(10, Arrivals.Spacing.EVEN, random),
                150,
                random,
                (request, id, patience, reply) -> {
                    assertTrue(patience >= 500 && patience <= 1000);
                    sent.add(scheduler.nowMs());
                    ClientRequest.End end = ends[tries[0]++];
                    scheduler.after(
                            10, () -> reply.ended(end, 503, end == ClientRequest.End.REFUSED ? 700 : Double.NaN));
                });
    }

    @Test
    void triesWaitLongerEachTimeAndBelongToTheirFirst() {
        List<Double> sent = new ArrayList<>();
        Clients clients = clients(
                new Retrying(3, 100, 2, false),
                sent,
                ClientRequest.End.FAILED,
                ClientRequest.End.REFUSED,
                ClientRequest.End.LOST,
                ClientRequest.End.SERVED);
        clients.start();
        scheduler.runUntil(10_000);
        assertEquals(List.of(100.0, 210.0, 420.0, 830.0), sent);
        assertEquals(1, clients.requests().size());
        assertEquals(840, clients.requests().get(0).servedMs(), 1e-6);
        assertEquals(4, clients.requests().get(0).tries().size());
        assertTrue(clients.isFinished());
    }

    @Test
    void retryAfterIsHeededWhereClientsDo() {
        List<Double> sent = new ArrayList<>();
        Clients clients =
                clients(new Retrying(1, 100, 1, true), sent, ClientRequest.End.REFUSED, ClientRequest.End.REFUSED);
        clients.start();
        scheduler.runUntil(10_000);
        assertEquals(List.of(100.0, 810.0), sent);
        assertTrue(Double.isNaN(clients.requests().get(0).servedMs()));
    }

    @Test
    void whoHasGivenUpDoesNotComeBack() {
        List<Double> sent = new ArrayList<>();
        clients(new Retrying(3, 100, 1, true), sent, ClientRequest.End.GIVEN_UP).start();
        scheduler.runUntil(10_000);
        assertEquals(1, sent.size());
    }

    private Registry registry(boolean pushes) {
        Registry registry = new Registry(scheduler, random, pushes, 500, 100, 300);
        registry.set(new Entry("a", State.IN_SERVICE, Double.NEGATIVE_INFINITY));
        registry.set(new Entry("b", State.IN_SERVICE, Double.NEGATIVE_INFINITY));
        return registry;
    }

    private static List<String> ids(Registry.Response answer) {
        return answer.entries().stream()
                .map(entry -> entry.id() + " " + entry.state())
                .toList();
    }

    @Test
    void changesAreToldLateAndOnlyThose() {
        Registry registry = registry(true);
        scheduler.runUntil(1000);
        List<String> told = new ArrayList<>();
        Registry.Agent agent = registry.agent(entry -> told.add(entry.id()));
        List<Registry.Response> answers = new ArrayList<>();
        agent.fetchAll(answers::add);
        assertEquals(List.of("a IN_SERVICE", "b IN_SERVICE"), ids(answers.get(0)));
        agent.watch(answers.get(0).version(), 20_000, answers::add);
        registry.set(new Entry("b", State.TERMINATING, 0));
        scheduler.runUntil(1099);
        assertEquals(1, answers.size());
        scheduler.runUntil(1301);
        assertFalse(answers.get(1).full());
        assertEquals(List.of("b TERMINATING"), ids(answers.get(1)));
        assertEquals(List.of("a", "b", "b"), told);
        agent.watch(answers.get(1).version(), 2000, answers::add);
        scheduler.runUntil(3301);
        assertEquals(List.of(), ids(answers.get(2)), "a watch that is over answers with nothing");
    }

    @Test
    void outOfReachItSaysNothingAndTellsAllAfterwards() {
        Registry registry = registry(true);
        scheduler.runUntil(1000);
        Registry.Agent agent = registry.agent(entry -> {});
        List<Registry.Response> answers = new ArrayList<>();
        agent.fetchAll(answers::add);
        registry.setReachable(false);
        agent.fetchAll(answers::add);
        agent.watch(answers.get(0).version(), 500, answers::add);
        registry.set(new Entry("a", State.TERMINATED, 0));
        scheduler.runUntil(5000);
        assertEquals(1, answers.size());
        registry.setReachable(true);
        assertEquals(List.of("a TERMINATED"), ids(answers.get(1)));
    }

    @Test
    void aRestartedRegistryGivesTheWholeListToWhoeverWatches() {
        Registry registry = registry(true);
        scheduler.runUntil(1000);
        Registry.Agent agent = registry.agent(entry -> {});
        List<Registry.Response> answers = new ArrayList<>();
        agent.fetchAll(answers::add);
        agent.watch(answers.get(0).version(), 20_000, answers::add);
        registry.restart();
        assertTrue(answers.get(1).full());
        assertEquals(1, answers.get(1).version());
        assertEquals(2, answers.get(1).entries().size());
    }

    @Test
    void aListThatShrinksLeavesSomeOutAndHasThemAgain() {
        Registry registry = registry(true);
        scheduler.runUntil(1000);
        Registry.Agent agent = registry.agent(entry -> {});
        List<Registry.Response> answers = new ArrayList<>();
        registry.hide(List.of("a"), true);
        agent.fetchAll(answers::add);
        registry.hide(List.of("a"), false);
        agent.fetchAll(answers::add);
        assertEquals(List.of("b IN_SERVICE"), ids(answers.get(0)));
        assertEquals(List.of("b IN_SERVICE", "a IN_SERVICE"), ids(answers.get(1)));
    }

    @Test
    void polledItIsAsOldAsTheLastPoll() {
        Registry registry = registry(false);
        Registry.Agent agent = registry.agent(entry -> {});
        List<Registry.Response> answers = new ArrayList<>();
        registry.set(new Entry("b", State.TERMINATED, 0));
        scheduler.runUntil(499);
        agent.fetchAll(answers::add);
        scheduler.runUntil(501);
        agent.fetchAll(answers::add);
        assertEquals(2, answers.get(0).entries().size());
        assertEquals(1, answers.get(1).entries().size());
    }
}
