package lemonrail.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import lemonrail.config.ControlConfig;
import lemonrail.config.EdgeConfig;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.RequestClass;

/** What an edge of a configuration would do, in a few lines for people. */
final class ConfigurationSummary {

    private ConfigurationSummary() {}

    static List<String> lines(Path file, EdgeConfig config) {
        List<String> lines = new ArrayList<>();
        lines.add(file + ": good");
        lines.add("  " + config.name() + " would listen on "
                + config.listeners().stream().map(ConfigurationSummary::plain).collect(Collectors.joining(", "))
                + (config.admin() == null
                        ? ", without an operators' door"
                        : ", operators call " + plain(config.admin())));
        long ready = config.known().endpoints().stream()
                .filter(server -> server.state() == EndpointState.READY)
                .count();
        lines.add("  it would send to "
                + (config.control() != null
                        ? "what "
                                + config.control().regionNodes().size() + " control nodes and "
                                + config.control().fallbackNodes().size() + " fallbacks list of "
                                + (config.control().services().isEmpty()
                                        ? "all services"
                                        : config.control().services())
                        : config.discovery() == null
                                ? ready + " of " + config.known().endpoints().size() + " fixed endpoints"
                                : "what discovery at " + plain(config.discovery()) + " lists, and start from "
                                        + config.known().endpoints().size() + " known endpoints"));
        for (RequestClass kind : config.settings().classes()) {
            lines.add("  class " + kind.name() + ": "
                    + switch (kind.idempotency()) {
                        case IDEMPOTENT -> "repeated where that helps";
                        case KEYED -> "repeated by key within " + time(kind.deduplicationWindowMs());
                        default -> "never repeated if it may have run";
                    }
                    + ", wanted within " + time(kind.latencyObjectiveMs()) + ", given up after "
                    + time(kind.deadlineMs()));
        }
        lines.add("  " + config.settings().tenants().size() + " tenants, at most "
                + config.settings().limits().maxAttempts() + " attempts a request, " + config.sockets()
                + " descriptors, " + (long) config.memoryMb() + "MiB");
        lines.add("  files are kept at " + config.kept("*"));
        return lines;
    }

    private static String plain(java.net.InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String time(double ms) {
        return ms >= 1000 ? ms / 1000 + "s" : ms + "ms";
    }

    /** What a control node would do. */
    static List<String> lines(Path file, ControlConfig config) {
        return List.of(
                file + ": good",
                "  control node " + config.name() + " of region " + config.region() + " would serve "
                        + config.mostWatchers() + " watchers at " + plain(config.address())
                        + (config.admin() == null
                                ? ", without an operators' door"
                                : ", operators call " + plain(config.admin())),
                "  it would watch " + config.peers().size() + " other nodes: "
                        + config.peers().stream()
                                .map(peer -> peer.name() + " (" + peer.region() + ") at " + plain(peer.address()))
                                .collect(Collectors.joining(", ")),
                "  what it knows is kept at " + config.kept());
    }
}
