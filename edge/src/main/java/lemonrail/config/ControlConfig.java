package lemonrail.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import lemonrail.logging.LogSettings;

/**
 * What a control node is told at its start.
 *
 * @param name the node's, one of a kind among all nodes of both regions
 * @param region the one that it is in
 * @param address where sidecars and other nodes watch
 * @param admin where operators call, or null where there is no admin API
 * @param peers the other nodes
 * @param mostWatchers sidecars that may watch at once
 * @param answerGapMs one watcher gets at most one answer in this time while changes pour
 * @param folder where what is known is kept for the next start, or null where it is not
 */
public record ControlConfig(
        String name,
        String region,
        InetSocketAddress address,
        InetSocketAddress admin,
        List<Peer> peers,
        int mostWatchers,
        double answerGapMs,
        Path folder,
        LogSettings logging) {

    /** The usual bound on watchers, and the usual gap between answers to one. */
    public static final int MOST_WATCHERS = 4096;

    public static final double ANSWER_GAP_MS = 150;

    /** Another node. */
    public record Peer(String name, InetSocketAddress address, String region) {}

    /** A node without peers, an admin API or a file, as tests and trials have it; others can be added. */
    public static ControlConfig of(String name, String region, InetSocketAddress address) {
        return new ControlConfig(
                name, region, address, null, List.of(), MOST_WATCHERS, ANSWER_GAP_MS, null, LogSettings.USUAL);
    }

    /** The file in which it keeps what it knows, or null. */
    public Path kept() {
        return folder == null ? null : folder.resolve(name + ".control");
    }
}
