package lemonrail.cli;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import lemonrail.config.ControlConfig;
import lemonrail.config.EdgeConfig;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.RequestClass;
import lemonrail.discovery.ControlClient;

/** Summarizes a valid configuration in a few readable lines. */
final class ConfigurationSummary {

    private static final double MS_PER_SECOND = 1000;

    private ConfigurationSummary() {}

    /** Returns the summary lines of an edge's configuration. */
    static List<String> lines(Path file, EdgeConfig config) {
        List<String> lines = new ArrayList<>();
        lines.add(file + ": valid");
        lines.add("  " + config.name() + " would listen on " + addresses(config.listeners()) + admin(config.admin()));
        lines.add("  it would forward requests to " + endpoints(config));
        config.settings().classes().forEach(requestClass -> lines.add(requestClass(requestClass)));
        lines.add("  " + limits(config));
        lines.add("  state files: " + config.stateFile("*"));
        return lines;
    }

    /** Returns the summary lines of a control node's configuration. */
    static List<String> lines(Path file, ControlConfig config) {
        return List.of(
                file + ": valid",
                "  control node " + config.name() + " of region " + config.region() + " would serve "
                        + config.maxWatchers() + " watchers at " + address(config.address()) + admin(config.admin()),
                "  it would watch " + config.peers().size() + " peers: " + peers(config),
                "  snapshot file: " + config.snapshotFile());
    }

    private static String admin(InetSocketAddress admin) {
        return admin == null ? ", without an admin API" : ", admin API at " + address(admin);
    }

    private static String endpoints(EdgeConfig config) {
        int endpointCount = config.initialEndpoints().endpoints().size();
        if (config.control() != null) {
            return controlNodes(config.control());
        }
        if (config.discovery() != null) {
            return "the endpoints of discovery at " + address(config.discovery()) + ", starting with " + endpointCount
                    + " configured endpoints";
        }
        long ready = config.initialEndpoints().endpoints().stream()
                .filter(endpoint -> endpoint.state() == EndpointState.READY)
                .count();
        return ready + " of " + endpointCount + " fixed endpoints";
    }

    private static String controlNodes(ControlClient.Subscription subscription) {
        String services = subscription.services().isEmpty()
                ? "all services"
                : subscription.services().toString();
        return "the endpoints that " + subscription.regionNodes().size() + " control nodes and "
                + subscription.fallbackNodes().size() + " fallback nodes list for " + services;
    }

    private static String requestClass(RequestClass requestClass) {
        return "  class " + requestClass.name() + ": " + retries(requestClass) + ", latency objective "
                + time(requestClass.latencyObjectiveMs()) + ", deadline " + time(requestClass.deadlineMs());
    }

    private static String retries(RequestClass requestClass) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> "retried after any failed attempt";
            case KEYED -> "retried with its idempotency key within " + time(requestClass.deduplicationWindowMs());
            case NON_IDEMPOTENT -> "never retried if it may have been executed";
        };
    }

    private static String limits(EdgeConfig config) {
        return config.settings().tenants().size() + " tenants, at most "
                + config.settings().limits().maxAttempts() + " attempts per request, " + config.maxDescriptors()
                + " descriptors, " + (long) config.memoryMb() + "MiB";
    }

    private static String peers(ControlConfig config) {
        return config.peers().stream()
                .map(peer -> peer.name() + " (" + peer.region() + ") at " + address(peer.address()))
                .collect(Collectors.joining(", "));
    }

    private static String addresses(List<InetSocketAddress> addresses) {
        return addresses.stream().map(ConfigurationSummary::address).collect(Collectors.joining(", "));
    }

    private static String address(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String time(double ms) {
        return ms >= MS_PER_SECOND ? ms / MS_PER_SECOND + "s" : ms + "ms";
    }
}
