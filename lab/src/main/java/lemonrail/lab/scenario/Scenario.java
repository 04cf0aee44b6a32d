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
 * A simulated site with its load and faults, and the variants to compare on it. All times are in milliseconds.
 *
 * @param file the scenario file; its name without the extension is {@code name}
 * @param about a one-sentence description, shown in reports
 * @param edgeFile the edge configuration file on which every sidecar's configuration is based; the run replaces the
 *     listeners, endpoints, discovery address and the sidecar's position among its peers
 * @param seeds the number of seeds to run for each variant, numbered from 1
 * @param retrying how clients retry
 * @param tiers the tiers in call order; clients call the first
 * @param clientLink the link from clients to the sidecars of the first tier
 * @param endpointLink the link from sidecars to endpoints
 */
public record Scenario(
        String name,
        Path file,
        String about,
        Path edgeFile,
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

    /** Returns a copy with another load. */
    public Scenario with(Load replacement) {
        return new Scenario(
                name,
                file,
                about,
                edgeFile,
                seeds,
                replacement,
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

    /** Returns a copy with another retry behavior of the clients. */
    public Scenario with(Retrying replacement) {
        return new Scenario(
                name,
                file,
                about,
                edgeFile,
                seeds,
                load,
                replacement,
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

    /** Returns a copy with other sidecars. */
    public Scenario with(Sidecars replacement) {
        return new Scenario(
                name,
                file,
                about,
                edgeFile,
                seeds,
                load,
                retrying,
                patience,
                requests,
                tenants,
                tiers,
                discovery,
                replacement,
                clientLink,
                endpointLink,
                faults,
                variants);
    }

    /** Returns a copy with {@code count} endpoints in the first tier. */
    public Scenario withEndpointCount(int count) {
        Tier first = tiers.get(0);
        List<Tier> otherTiers = new ArrayList<>(tiers);
        otherTiers.set(
                0,
                new Tier(
                        first.name,
                        count,
                        first.cores,
                        first.minSpeed,
                        first.maxSpeed,
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
                edgeFile,
                seeds,
                load,
                retrying,
                patience,
                requests,
                tenants,
                otherTiers,
                discovery,
                sidecars,
                clientLink,
                endpointLink,
                faults,
                variants);
    }

    /**
     * The load that the clients generate.
     *
     * @param rate new requests per second over all clients, without client retries
     * @param lengthMs how long requests arrive, including the warm-up
     * @param warmUpMs time at the start that is excluded from the results
     * @param exponentialWork whether the work of a request is drawn from an exponential distribution; otherwise it is
     *     always the mean
     * @param connections maximum number of connections that the clients open at the same time
     */
    public record Load(
            double rate,
            double lengthMs,
            double warmUpMs,
            Arrivals.Spacing spacing,
            boolean exponentialWork,
            int connections) {}

    /**
     * How long a client waits for a response, as a fraction of the request's deadline; drawn for each attempt from the
     * range {@code minFraction} to {@code maxFraction}.
     */
    public record Patience(double minFraction, double maxFraction) {}

    /**
     * The requests of one request class.
     *
     * @param className the class's name in the edge configuration
     * @param share relative weight against the shares of the other classes
     * @param workMs mean work summed over all tiers, on a core of speed 1
     */
    public record Requests(String className, double share, double workMs) {}

    /** A tenant, and the relative weight of its requests against the shares of the other tenants. */
    public record Tenant(String name, double share) {}

    /**
     * One tier of equal endpoints.
     *
     * @param count number of endpoints
     * @param cores number of cores of each endpoint
     * @param minSpeed lower bound of the core speed drawn for each endpoint; at speed 1, 1 ms of work
     *     takes a core 1 ms
     * @param maxSpeed upper bound of the core speed
     * @param slots number of requests that an endpoint processes at the same time
     * @param waitingRoom number of requests that may wait for a slot at an endpoint
     * @param connections maximum number of open connections to an endpoint
     * @param handshakeMs work that each new connection costs
     * @param rackWindowMs how long a rack remembers idempotency keys, so that it answers repeated requests
     *     without work
     * @param workShare fraction of a request's work that one call to this tier costs
     * @param calls mean number of calls to the next tier for each request
     * @param startsCold whether all endpoints have just started when the run begins
     */
    public record Tier(
            String name,
            int count,
            int cores,
            double minSpeed,
            double maxSpeed,
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

    /**
     * How discovery agents learn of changes to the endpoint list.
     *
     * @param pushes whether the registry pushes changes; otherwise agents poll
     * @param pollMs poll interval
     * @param minLagMs minimum delay of a push
     * @param maxLagMs maximum delay of a push
     */
    public record Discovery(boolean pushes, double pollMs, double minLagMs, double maxLagMs) {}

    /**
     * The sidecars.
     *
     * @param front number of sidecars in front of the first tier
     * @param ownProcess whether each sidecar is a separate process instead of part of the lab's process
     */
    public record Sidecars(int front, boolean ownProcess) {}

    /**
     * The properties that a link has during the entire run, in each direction.
     *
     * @param jitterMs upper bound of a random delay added to {@code delayMs}
     * @param bytesPerMs bandwidth, or 0 if unlimited
     * @param pieceBytes size of the pieces into which data is split, or 0 if it is forwarded as received
     */
    public record Link(double delayMs, double jitterMs, double bytesPerMs, int pieceBytes) {
        /** Returns whether the link forwards data unchanged and without delay. */
        public boolean isPassThrough() {
            return delayMs == 0 && jitterMs == 0 && bytesPerMs == 0 && pieceBytes == 0;
        }
    }

    /**
     * One of the variants to compare.
     *
     * @param decider the load balancer of sidecars in the lab's process; separate processes use the one of their build
     * @param overrides values that replace keys of the edge configuration file, for example {@code limits.attempts = 2}
     * @param jar another build of the edge, or null for the default build
     */
    public record Variant(String name, LoadBalancerFactory decider, Map<String, String> overrides, Path jar) {}
}
