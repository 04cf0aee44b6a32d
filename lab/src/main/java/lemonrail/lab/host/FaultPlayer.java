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

/** Makes faults happen: it draws whom they befall, begins and ends them. */
final class FaultPlayer {

    /** What one tier has that can go wrong. */
    record Tier(List<EndpointHost> endpoints, Function<EndpointHost, Relay> links, Registry registry) {}

    private static final double DRAIN_PART = 0.5;

    private final Scheduler scheduler;
    private final List<Tier> tiers;
    private final UniformRandomProvider random;
    /** Of several that befall an endpoint at once the worst is in force. */
    private final List<Slowed> slowed = new ArrayList<>();

    private record Slowed(EndpointHost host, Fault fault) {}

    FaultPlayer(Scheduler scheduler, List<Tier> tiers, UniformRandomProvider random) {
        this.scheduler = scheduler;
        this.tiers = tiers;
        this.random = random;
    }

    /** Whether a scenario with these faults needs relays before its endpoints. */
    static boolean needLinks(List<Fault> faults, Link link) {
        return !link.isPlain() || faults.stream().anyMatch(fault -> fault.kind().isOfLinks());
    }

    /** Has all of them happen in their time; bursts are the arrivals' own affair. */
    void play(List<Fault> faults) {
        for (Fault fault : faults) {
            Tier tier = tiers.get(fault.tier());
            List<EndpointHost> whom = draw(tier, fault.share());
            scheduler.after(fault.beginMs(), () -> begin(fault, tier, whom));
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

    private void begin(Fault fault, Tier tier, List<EndpointHost> whom) {
        switch (fault.kind()) {
            case VANISH ->
                during(fault, whom, host -> host.model().vanish(), host -> {
                    host.reset();
                    start(tier, host);
                });
            case SLOW -> during(fault, whom, host -> slow(host, fault, true), host -> slow(host, fault, false));
            case HANG ->
                during(
                        fault,
                        whom,
                        host -> host.model().hang(true),
                        host -> host.model().hang(false));
            case FAIL ->
                during(
                        fault,
                        whom,
                        host -> host.model().fail(true),
                        host -> host.model().fail(false));
            case RESTART -> {
                double each = fault.lengthMs() / whom.size();
                for (int i = 0; i < whom.size(); i++) {
                    EndpointHost host = whom.get(i);
                    scheduler.after(i * each, () -> restart(tier, host, each));
                }
            }
            case DRAIN ->
                during(
                        fault,
                        whom,
                        host -> {
                            host.model().drain(true);
                            say(tier, host, Registry.State.TERMINATING);
                        },
                        host -> {
                            host.model().drain(false);
                            say(tier, host, Registry.State.IN_SERVICE);
                        });
            case RESET ->
                during(
                        fault,
                        whom,
                        host -> {
                            tier.links.apply(host).reset();
                            tier.links.apply(host).resetNewAfter(fault.size());
                        },
                        host -> tier.links.apply(host).resetNewAfter(Double.NaN));
            case HALF_OPEN ->
                during(
                        fault,
                        whom,
                        host -> tier.links.apply(host).freeze(),
                        host -> tier.links.apply(host).reset());
            case DELAY ->
                during(
                        fault,
                        whom,
                        host -> tier.links.apply(host).delay(fault.size()),
                        host -> tier.links.apply(host).delay(0));
            case LOSS ->
                during(
                        fault,
                        whom,
                        host -> tier.links.apply(host).lose(fault.size()),
                        host -> tier.links.apply(host).lose(0));
            case LIST_DOWN -> {
                tiers.forEach(each -> each.registry.reachable(false));
                scheduler.after(fault.lengthMs(), () -> tiers.forEach(each -> each.registry.reachable(true)));
            }
            case LIST_SHRINKS -> {
                List<String> ids = whom.stream().map(EndpointHost::id).toList();
                tier.registry.hide(ids, true);
                scheduler.after(fault.lengthMs(), () -> tier.registry.hide(ids, false));
            }
            case LIST_RESTARTS -> tiers.forEach(each -> each.registry.restart());
            case BURST -> {
                // The arrivals know of it.
            }
            default -> throw new IllegalArgumentException("no such fault: " + fault.kind());
        }
    }

    private void during(
            Fault fault, List<EndpointHost> whom, Consumer<EndpointHost> begin, Consumer<EndpointHost> end) {
        whom.forEach(begin);
        scheduler.after(fault.lengthMs(), () -> whom.forEach(end));
    }

    private void slow(EndpointHost host, Fault fault, boolean on) {
        if (on) {
            slowed.add(new Slowed(host, fault));
        } else {
            slowed.remove(new Slowed(host, fault));
        }
        host.model()
                .slow(slowed.stream()
                        .filter(entry -> entry.host == host)
                        .mapToDouble(entry -> entry.fault.size())
                        .max()
                        .orElse(1));
    }

    /** Drains for half of the time, then ends and starts again, cold. */
    private void restart(Tier tier, EndpointHost host, double lengthMs) {
        host.model().drain(true);
        say(tier, host, Registry.State.TERMINATING);
        scheduler.after(lengthMs * DRAIN_PART, () -> {
            host.model().vanish();
            host.reset();
            start(tier, host);
        });
    }

    private void start(Tier tier, EndpointHost host) {
        host.model().start();
        say(tier, host, Registry.State.IN_SERVICE);
    }

    private static void say(Tier tier, EndpointHost host, Registry.State state) {
        tier.registry.set(new Registry.Line(host.id(), state, host.model().startedMs()));
    }
}
