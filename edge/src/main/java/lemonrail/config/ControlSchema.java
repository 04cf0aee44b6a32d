package lemonrail.config;

import java.net.InetSocketAddress;
import java.util.List;

/** The schema of a control node's file: its own tables, which stand beside some of {@link Schema}. */
final class ControlSchema {

    private static final double MINUTE_MS = 60_000;

    static final ConfigKey<InetSocketAddress> ADDRESS =
            ConfigKey.required("address", ValueType.address(0), "where sidecars and other control nodes watch");
    static final ConfigKey<String> REGION =
            ConfigKey.optional("region", ValueType.word(), "\"default\"", "the region that the node is in");
    static final ConfigKey<Integer> MAX_WATCHERS =
            ConfigKey.optional("watchers", ValueType.whole(1, 65_536), "4096", "sidecars that may watch at once");
    static final ConfigKey<Double> RESPONSE_INTERVAL = ConfigKey.optional(
            "answer-gap",
            ValueType.duration(1, MINUTE_MS),
            "\"150ms\"",
            "while changes pour one watcher gets at most one answer in this time");
    static final ConfigKey<String> PEER_NAME = ConfigKey.required("name", ValueType.word(), "its name");
    static final ConfigKey<InetSocketAddress> PEER_ADDRESS =
            ConfigKey.required("address", ValueType.address(1), "its control.address");
    static final ConfigKey<String> PEER_REGION =
            ConfigKey.optional("region", ValueType.word(), "\"default\"", "its control.region");

    static final ConfigTable CONTROL = new ConfigTable(
            "control",
            0,
            "a control node, in a file of its own: lemonrail control --config FILE",
            List.of(ADDRESS, REGION, MAX_WATCHERS, RESPONSE_INTERVAL));
    static final ConfigTable PEERS = new ConfigTable(
            "peers",
            32,
            "all control nodes, in a control node's file; the one of its own name is left out",
            List.of(PEER_NAME, PEER_ADDRESS, PEER_REGION));

    private ControlSchema() {}
}
