package lemonrail.config;

import java.net.InetSocketAddress;
import java.util.List;

/** The tables of a control node's file that an edge's file does not have; the others are those of {@link Schema}. */
final class ControlSchema {

    private static final double MINUTE_MS = 60_000;

    static final ConfigKey<InetSocketAddress> ADDRESS = ConfigKey.required(
            "address", ValueType.address(0), "the address on which sidecars and other control nodes watch");
    static final ConfigKey<String> REGION =
            ConfigKey.optional("region", ValueType.word(), "\"default\"", "the region of the node");
    static final ConfigKey<Integer> MAX_WATCHERS = ConfigKey.optional(
            "watchers",
            ValueType.whole(1, 65_536),
            "4096",
            "the maximum number of sidecars that watch at the same time");
    static final ConfigKey<Double> RESPONSE_INTERVAL = ConfigKey.optional(
            "answer-gap",
            ValueType.duration(1, MINUTE_MS),
            "\"150ms\"",
            "the minimum time between two responses to one watcher while changes are frequent");
    static final ConfigKey<String> PEER_NAME = ConfigKey.required("name", ValueType.word(), "the name of the node");
    static final ConfigKey<InetSocketAddress> PEER_ADDRESS =
            ConfigKey.required("address", ValueType.address(1), "the control.address of the node");
    static final ConfigKey<String> PEER_REGION =
            ConfigKey.optional("region", ValueType.word(), "\"default\"", "the control.region of the node");

    static final ConfigTable CONTROL = new ConfigTable(
            "control",
            0,
            "a control node, configured in a separate file and run with: lemonrail control --config FILE",
            List.of(ADDRESS, REGION, MAX_WATCHERS, RESPONSE_INTERVAL));
    static final ConfigTable PEERS = new ConfigTable(
            "peers",
            32,
            "all control nodes, in a control node's file; the entry with the node's own name is ignored",
            List.of(PEER_NAME, PEER_ADDRESS, PEER_REGION));

    private ControlSchema() {}
}
