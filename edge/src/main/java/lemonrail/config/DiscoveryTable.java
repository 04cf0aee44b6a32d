package lemonrail.config;

import java.net.InetSocketAddress;
import java.util.List;
import lemonrail.discovery.ControlClient;

/**
 * The table {@code [discovery]}; values that are not given or have problems are null.
 *
 * @param address of the discovery service
 * @param waitMs how long a poll waits for changes, in milliseconds
 * @param nodes the control nodes to watch in place of the discovery service
 * @param fallbacks control nodes of other regions
 * @param services whose endpoints are wanted of the control nodes
 * @param settingsDocument the settings document of the control nodes to follow
 */
record DiscoveryTable(
        InetSocketAddress address,
        Double waitMs,
        List<InetSocketAddress> nodes,
        List<InetSocketAddress> fallbacks,
        List<String> services,
        String settingsDocument) {

    static DiscoveryTable read(TomlDocument document) {
        TableReader table = document.table(Schema.DISCOVERY);
        DiscoveryTable discovery = new DiscoveryTable(
                table.get(Schema.DISCOVERY_ADDRESS),
                table.get(Schema.DISCOVERY_WAIT),
                table.get(Schema.CONTROL_NODES),
                table.get(Schema.FALLBACK_NODES),
                table.get(Schema.SERVICES),
                table.get(Schema.SETTINGS_DOCUMENT));
        if (discovery.nodes == null) {
            checkNoControlKeys(table);
        } else if (table.has(Schema.DISCOVERY_ADDRESS)) {
            table.addProblem(Schema.CONTROL_NODES, "takes the place of discovery.address: one of the two must go");
        }
        return discovery;
    }

    private static void checkNoControlKeys(TableReader table) {
        for (ConfigKey<?> key : List.of(Schema.FALLBACK_NODES, Schema.SERVICES, Schema.SETTINGS_DOCUMENT)) {
            if (table.has(key)) {
                table.addProblem(key, "goes with discovery.addresses only");
            }
        }
    }

    /** Returns the plan to watch control nodes, or null where none are given. */
    ControlClient.Subscription toControlPlan(String name) {
        if (nodes == null) {
            return null;
        }
        return new ControlClient.Subscription(
                name,
                nodes,
                fallbacks == null ? List.of() : fallbacks,
                services == null ? List.of() : services,
                settingsDocument,
                waitMs);
    }
}
