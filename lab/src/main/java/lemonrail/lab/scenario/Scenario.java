package lemonrail.lab.scenario;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemonrail.core.balancer.LoadBalancerFactory;
import lemonrail.lab.model.Arrivals;
import lemonrail.lab.model.Clients.Retrying;
import lemonrail.lab.model.EndpointShape.ColdStart;
import lemonrail.lab.model.EndpointShape.Crowding;
import lemonrail.lab.model.Fault;

/**
 * What is played: a site, its load, what goes wrong, and the variants that are compared. Times are ms.
 *
 * @param edge the operators' file that every sidecar starts from; listeners, endpoints, discovery and place
 *     among the sidecars are set by the run
 * @param seeds how many seeds, from 1 on, each variant plays
 */
public record Scenario(
        String name,
        Path file,
        String about,
        Path edge,
        int seeds,
        Load load,
        Retrying retrying,
        Patience patience,
        List<Requests> requests,
        List<Tenant> tenants,
        List<Tier> tiers,
        Discovery discovery,
        Sidecars sidecars,
        Link clientLink,
        Link endpointLink,
        List<Fault> faults,
        List<Variant> variants) {

    /** The same with another load. */
    public Scenario with(Load other) {
        return new Scenario(
                name,
                file,
                about,
                edge,
                seeds,
                other,
                retrying,
                patience,
                requests,
                tenants,
                tiers,
                discovery,
                sidecars,
                clientLink,
                endpointLink,
                faults,
                variants);
    }

    /** The same with another way of trying again. */
    public Scenario with(Retrying other) {
        return new Scenario(
                name,
                file,
                about,
                edge,
                seeds,
                load,
                other,
                patience,
                requests,
                tenants,
                tiers,
                discovery,
                sidecars,
                clientLink,
                endpointLink,
                faults,
                variants);
    }

    /** The same with another row of sidecars. */
    public Scenario with(Sidecars other) {
        return new Scenario(
                name,
                file,
                about,
                edge,
                seeds,
                load,
                retrying,
                patience,
                requests,
                tenants,
                tiers,
                discovery,
                other,
                clientLink,
                endpointLink,
                faults,
                variants);
    }

    /** The same with so many endpoints in the first tier. */
    public Scenario withCount(int count) {
        Tier first = tiers.get(0);
        List<Tier> other = new ArrayList<>(tiers);
        other.set(
                0,
                new Tier(
                        first.name,
                        count,
                        first.cores,
                        first.leastSpeed,
                        first.mostSpeed,
                        first.slots,
                        first.waitingRoom,
                        first.connections,
                        first.handshakeMs,
                        first.racks,
                        first.rackWindowMs,
                        first.workShare,
                        first.calls,
                        first.cold,
                        first.crowding,
                        first.startsCold));
        return new Scenario(
                name,
                file,
                about,
                edge,
                seeds,
                load,
                retrying,
                patience,
                requests,
                tenants,
                other,
                discovery,
                sidecars,
                clientLink,
                endpointLink,
                faults,
                variants);
    }

    /**
     * The load.
     *
     * @param rate first tries a second, over all
     * @param warmUpMs before anything counts
     * @param connections that the clients may have open at once
     */
    public record Load(
            double rate,
            double lengthMs,
            double warmUpMs,
            Arrivals.Spacing spacing,
            boolean exponentialWork,
            int connections) {}

    /** Which part of its deadline a client waits. */
    public record Patience(double least, double most) {}

    /** Requests of one class of the edge: their share of all, and their mean work over all tiers. */
    public record Requests(String className, double share, double workMs) {}

    /** Who sends requests, and which part of them. */
    public record Tenant(String name, double share) {}

    /**
     * One tier.
     *
     * @param workShare of a request's work that a call costs here
     * @param calls to the next tier for each request, in the mean
     */
    public record Tier(
            String name,
            int count,
            int cores,
            double leastSpeed,
            double mostSpeed,
            int slots,
            int waitingRoom,
            int connections,
            double handshakeMs,
            int racks,
            double rackWindowMs,
            double workShare,
            double calls,
            ColdStart cold,
            Crowding crowding,
            boolean startsCold) {}

    /** How the list of endpoints comes; agents that poll ask once in {@code pollMs}. */
    public record Discovery(boolean pushes, double pollMs, double leastLagMs, double mostLagMs) {}

    /** The sidecars of the first tier, and whether each sidecar is a process of its own. */
    public record Sidecars(int front, boolean ownProcess) {}

    /**
     * What a link does at all times.
     *
     * @param bytesPerMs each way, or 0 where there is no bound
     * @param pieceBytes into which what is sent is cut, or 0
     */
    public record Link(double delayMs, double jitterMs, double bytesPerMs, int pieceBytes) {
        /** Whether it does anything. */
        public boolean isPlain() {
            return delayMs == 0 && jitterMs == 0 && bytesPerMs == 0 && pieceBytes == 0;
        }
    }

    /**
     * One of those that are compared.
     *
     * @param decider of sidecars inside; processes have their build's own
     * @param set keys of the edge's file that have another value, as in {@code limits.attempts = 2}
     * @param jar another build of the edge, or null
     */
    public record Variant(String name, LoadBalancerFactory decider, Map<String, String> set, Path jar) {}
}
