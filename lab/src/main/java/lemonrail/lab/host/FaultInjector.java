package lemonrail.lab.host;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import lemonrail.lab.model.Fault;
import lemonrail.lab.model.Registry;
import lemonrail.lab.model.Scheduler;
import lemonrail.lab.scenario.Scenario.Link;
import org.apache.commons.rng.UniformRandomProvider;

/** Injects the faults of a scenario: draws the endpoints that each fault affects, and begins and ends the fault. */
final class FaultInjector {

    /** The parts of one tier that faults act on. */
    record Tier(List<EndpointHost> endpoints, Function<EndpointHost, Relay> relays, Registry registry) {}

    private static final double DRAIN_FRACTION = 0.5;

    private final Scheduler scheduler;
    private final List<Tier> tiers;
    private final UniformRandomProvider random;
    /** Slowdowns in force; if several affect one endpoint, the largest applies. */
    private final List<Slowdown> slowdowns = new ArrayList<>();

    private record Slowdown(EndpointHost host, Fault fault) {}

    FaultInjector(Scheduler scheduler, List<Tier> tiers, UniformRandomProvider random) {
        this.scheduler = scheduler;
        this.tiers = tiers;
        this.random = random;
    }

    /** Returns whether a scenario with these faults needs relays before its endpoints. */
    static boolean needRelays(List<Fault> faults, Link link) {
        return !link.isPassThrough()
                || faults.stream().anyMatch(fault -> fault.kind().isOfLinks());
    }

    /** Schedules all faults; bursts are left to the arrivals. */
    void scheduleAll(List<Fault> faults) {
        for (Fault fault : faults) {
            Tier tier = tiers.get(fault.tier());
            List<EndpointHost> affected = draw(tier, fault.share());
            scheduler.after(fault.beginMs(), () -> begin(fault, tier, affected));
        }
    }

    private List<EndpointHost> draw(Tier tier, double share) {
        List<EndpointHost> all = new ArrayList<>(tier.endpoints);
        if (share == 0) {
            int rack = all.get(random.nextInt(all.size())).model().shape().rack();
            return all.stream()
                    .filter(host -> host.model().shape().rack() == rack)
                    .toList();
        }
        for (int i = all.size() - 1; i > 0; i--) {
            Collections.swap(all, i, random.nextInt(i + 1));
        }
        return all.subList(0, Math.max(1, (int) Math.round(share * all.size())));
    }

    private void begin(Fault fault, Tier tier, List<EndpointHost> affected) {
        switch (fault.kind()) {
            case VANISH, SLOW, HANG, FAIL, RESTART, DRAIN -> beginAtEndpoints(fault, tier, affected);
            case RESET, HALF_OPEN, DELAY, LOSS -> beginAtLinks(fault, tier, affected);
            case LIST_DOWN, LIST_SHRINKS, LIST_RESTARTS -> beginAtDiscovery(fault, tier, affected);
            case BURST -> {
                // The testbed has added bursts to the arrivals.
            }
            default -> throw new IllegalArgumentException("unknown kind of fault: " + fault.kind());
        }
    }

    private void beginAtEndpoints(Fault fault, Tier tier, List<EndpointHost> affected) {
        switch (fault.kind()) {
            case VANISH -> during(fault, affected, host -> host.model().vanish(), host -> restartProcess(tier, host));
            case SLOW -> during(fault, affected, host -> slow(host, fault, true), host -> slow(host, fault, false));
            case HANG ->
                during(
                        fault,
                        affected,
                        host -> host.model().hang(true),
                        host -> host.model().hang(false));
            case FAIL ->
                during(
                        fault,
                        affected,
                        host -> host.model().fail(true),
                        host -> host.model().fail(false));
            case RESTART -> restartInTurn(fault, tier, affected);
            case DRAIN -> during(fault, affected, host -> drain(tier, host), host -> endDrain(tier, host));
            default -> throw new IllegalArgumentException("not a fault of endpoints: " + fault.kind());
        }
    }

    private void beginAtLinks(Fault fault, Tier tier, List<EndpointHost> affected) {
        Function<EndpointHost, Relay> relays = tier.relays;
        switch (fault.kind()) {
            case RESET ->
                during(
                        fault,
                        affected,
                        host -> {
                            relays.apply(host).reset();
                            relays.apply(host).resetNewAfter(fault.size());
                        },
                        host -> relays.apply(host).resetNewAfter(Double.NaN));
            case HALF_OPEN ->
                during(
                        fault,
                        affected,
                        host -> relays.apply(host).freeze(),
                        host -> relays.apply(host).reset());
            case DELAY ->
                during(
                        fault,
                        affected,
                        host -> relays.apply(host).setExtraDelay(fault.size()),
                        host -> relays.apply(host).setExtraDelay(0));
            case LOSS ->
                during(
                        fault,
                        affected,
                        host -> relays.apply(host).setLoss(fault.size()),
                        host -> relays.apply(host).setLoss(0));
            default -> throw new IllegalArgumentException("not a fault of links: " + fault.kind());
        }
    }

    private void beginAtDiscovery(Fault fault, Tier tier, List<EndpointHost> affected) {
        switch (fault.kind()) {
            case LIST_DOWN -> {
                tiers.forEach(other -> other.registry.setReachable(false));
                scheduler.after(fault.lengthMs(), () -> tiers.forEach(other -> other.registry.setReachable(true)));
            }
            case LIST_SHRINKS -> {
                List<String> ids = affected.stream().map(EndpointHost::id).toList();
                tier.registry.hide(ids, true);
                scheduler.after(fault.lengthMs(), () -> tier.registry.hide(ids, false));
            }
            case LIST_RESTARTS -> tiers.forEach(other -> other.registry.restart());
            default -> throw new IllegalArgumentException("not a fault of discovery: " + fault.kind());
        }
    }

    private void during(
            Fault fault, List<EndpointHost> affected, Consumer<EndpointHost> begin, Consumer<EndpointHost> end) {
        affected.forEach(begin);
        scheduler.after(fault.lengthMs(), () -> affected.forEach(end));
    }

    private void slow(EndpointHost host, Fault fault, boolean active) {
        if (active) {
            slowdowns.add(new Slowdown(host, fault));
        } else {
            slowdowns.remove(new Slowdown(host, fault));
        }
        host.model()
                .slow(slowdowns.stream()
                        .filter(entry -> entry.host == host)
                        .mapToDouble(entry -> entry.fault.size())
                        .max()
                        .orElse(1));
    }

    private void restartInTurn(Fault fault, Tier tier, List<EndpointHost> affected) {
        double intervalMs = fault.lengthMs() / affected.size();
        for (int i = 0; i < affected.size(); i++) {
            EndpointHost host = affected.get(i);
            scheduler.after(i * intervalMs, () -> restart(tier, host, intervalMs));
        }
    }

    /** Drains an endpoint for part of the time, then ends its process and starts another, which warms up. */
    private void restart(Tier tier, EndpointHost host, double lengthMs) {
        drain(tier, host);
        scheduler.after(lengthMs * DRAIN_FRACTION, () -> {
            host.model().vanish();
            restartProcess(tier, host);
        });
    }

    private static void drain(Tier tier, EndpointHost host) {
        host.model().drain(true);
        updateRegistry(tier, host, Registry.State.TERMINATING);
    }

    private static void endDrain(Tier tier, EndpointHost host) {
        host.model().drain(false);
        updateRegistry(tier, host, Registry.State.IN_SERVICE);
    }

    private void restartProcess(Tier tier, EndpointHost host) {
        host.reset();
        start(tier, host);
    }

    private void start(Tier tier, EndpointHost host) {
        host.model().start();
        updateRegistry(tier, host, Registry.State.IN_SERVICE);
    }

    private static void updateRegistry(Tier tier, EndpointHost host, Registry.State state) {
        tier.registry.set(new Registry.Entry(host.id(), state, host.model().startedMs()));
    }
}
