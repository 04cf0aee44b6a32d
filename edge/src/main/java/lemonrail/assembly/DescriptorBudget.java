package lemonrail.assembly;

import java.io.File;
import lemonrail.admin.AdminServer;
import lemonrail.config.EdgeConfig;

/**
 * Splits the file descriptors of the process between connections of clients and connections to endpoints. While
 * a sibling process runs, as during an upgrade, both processes together stay within the limit: each uses half.
 */
final class DescriptorBudget {

    /** Descriptors that are opened after the start: the warm-up, discovery, one round of accepts. */
    private static final int RESERVED_DESCRIPTORS = 32;
    /** The open descriptors assumed where the operating system does not list them. */
    private static final int DEFAULT_OPEN_DESCRIPTORS = 32;

    private static final int MIN_CONNECTIONS = 8;

    private final int descriptorLimit;
    private final int ownDescriptors;
    private final int rejectedClientConnections;
    private boolean sharedWithSibling;

    private DescriptorBudget(
            int descriptorLimit, int ownDescriptors, int rejectedClientConnections, boolean sharedWithSibling) {
        this.descriptorLimit = descriptorLimit;
        this.ownDescriptors = ownDescriptors;
        this.rejectedClientConnections = rejectedClientConnections;
        this.sharedWithSibling = sharedWithSibling;
    }

    /**
     * Counts the descriptors that are open now as needed by the process itself.
     *
     * @param rejectedClientConnections connections beyond the limit that are accepted only to reject them
     */
    static DescriptorBudget of(EdgeConfig config, int rejectedClientConnections, boolean sharedWithSibling) {
        int adminConnections = config.admin() == null ? 0 : AdminServer.MAX_CONNECTIONS;
        int ownDescriptors = openDescriptors() + RESERVED_DESCRIPTORS + adminConnections;
        return new DescriptorBudget(config.sockets(), ownDescriptors, rejectedClientConnections, sharedWithSibling);
    }

    private static int openDescriptors() {
        String[] names = new File("/proc/self/fd").list();
        return names == null ? DEFAULT_OPEN_DESCRIPTORS : names.length;
    }

    /** Sets whether a sibling process uses half of the limit; returns whether that is a change. */
    boolean setSharedWithSibling(boolean shared) {
        boolean changed = shared != sharedWithSibling;
        sharedWithSibling = shared;
        return changed;
    }

    /** Returns the most connections to endpoints. */
    int maxUpstreamConnections() {
        int limit = sharedWithSibling ? descriptorLimit / 2 : descriptorLimit;
        return Math.max(MIN_CONNECTIONS, (limit - ownDescriptors) / 2);
    }

    /** Returns the most connections of clients, over all listeners. */
    int maxClientConnections() {
        return Math.max(MIN_CONNECTIONS, maxUpstreamConnections() - rejectedClientConnections);
    }
}
