package lemonrail.config;

import java.net.InetSocketAddress;
import java.util.List;
import lemonrail.discovery.ControlClient;

/**
 * The table {@code [discovery]}; values that are missing or invalid are null.
 *
 * @param address the address of the discovery service
 * @param waitMs how long a poll waits for changes, in milliseconds
 * @param nodes the control nodes to watch instead of the discovery service
 * @param fallbacks the control nodes of other regions
 * @param services the services whose endpoints are requested from the control nodes
 * @param settingsDocument the name of the control nodes' settings document to apply
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
            table.addProblem(Schema.CONTROL_NODES, "conflicts with discovery.address; only one of the two may be set");
        }
        return discovery;
    }

    private static void checkNoControlKeys(TableReader table) {
        for (ConfigKey<?> key : List.of(Schema.FALLBACK_NODES, Schema.SERVICES, Schema.SETTINGS_DOCUMENT)) {
            if (table.has(key)) {
                table.addProblem(key, "is allowed only with discovery.addresses");
            }
        }
    }

    /** Returns the subscription of the edge with this name to control nodes, or null if none are configured. */
    ControlClient.Subscription toSubscription(String name) {
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
