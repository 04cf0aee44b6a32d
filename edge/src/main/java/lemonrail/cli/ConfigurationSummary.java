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

/** Summarizes a valid configuration in a few lines for people. */
final class ConfigurationSummary {

    private static final double MS_PER_SECOND = 1000;

    private ConfigurationSummary() {}

    /** Returns the summary of an edge. */
    static List<String> lines(Path file, EdgeConfig config) {
        List<String> lines = new ArrayList<>();
        lines.add(file + ": good");
        lines.add("  " + config.name() + " would listen on " + addresses(config.listeners()) + admin(config.admin()));
        lines.add("  it would send to " + endpoints(config));
        config.settings().classes().forEach(requestClass -> lines.add(requestClass(requestClass)));
        lines.add("  " + limits(config));
        lines.add("  files are kept at " + config.stateFile("*"));
        return lines;
    }

    /** Returns the summary of a control node. */
    static List<String> lines(Path file, ControlConfig config) {
        return List.of(
                file + ": good",
                "  control node " + config.name() + " of region " + config.region() + " would serve "
                        + config.maxWatchers() + " watchers at " + address(config.address()) + admin(config.admin()),
                "  it would watch " + config.peers().size() + " other nodes: " + peers(config),
                "  what it knows is kept at " + config.snapshotFile());
    }

    private static String admin(InetSocketAddress admin) {
        return admin == null ? ", without an admin API" : ", operators call " + address(admin);
    }

    private static String endpoints(EdgeConfig config) {
        int known = config.known().endpoints().size();
        if (config.control() != null) {
            return controlNodes(config.control());
        }
        if (config.discovery() != null) {
            return "what discovery at " + address(config.discovery()) + " lists, and start from " + known
                    + " known endpoints";
        }
        long ready = config.known().endpoints().stream()
                .filter(endpoint -> endpoint.state() == EndpointState.READY)
                .count();
        return ready + " of " + known + " fixed endpoints";
    }

    private static String controlNodes(ControlClient.Subscription plan) {
        String services =
                plan.services().isEmpty() ? "all services" : plan.services().toString();
        return "what " + plan.regionNodes().size() + " control nodes and "
                + plan.fallbackNodes().size() + " fallbacks list of " + services;
    }

    private static String requestClass(RequestClass requestClass) {
        return "  class " + requestClass.name() + ": " + retries(requestClass) + ", wanted within "
                + time(requestClass.latencyObjectiveMs()) + ", given up after " + time(requestClass.deadlineMs());
    }

    private static String retries(RequestClass requestClass) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> "repeated where that helps";
            case KEYED -> "repeated by key within " + time(requestClass.deduplicationWindowMs());
            case NON_IDEMPOTENT -> "never repeated if it may have run";
        };
    }

    private static String limits(EdgeConfig config) {
        return config.settings().tenants().size() + " tenants, at most "
                + config.settings().limits().maxAttempts() + " attempts a request, " + config.sockets()
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
