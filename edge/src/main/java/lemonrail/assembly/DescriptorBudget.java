package lemonrail.assembly;

import java.io.File;
import lemonrail.admin.AdminServer;
import lemonrail.config.EdgeConfig;

/**
 * Splits the file descriptors of the process between client connections and connections to endpoints. While a
 * sibling process runs, for example during an upgrade, each of the two processes uses at most half of the limit.
 */
final class DescriptorBudget {

    /** Descriptors opened after they are counted: by the warm-up, by discovery and by one round of accepts. */
    private static final int RESERVED_DESCRIPTORS = 32;
    /** Number of open descriptors assumed where the operating system does not list them. */
    private static final int DEFAULT_OPEN_DESCRIPTORS = 32;

    private static final int MIN_CONNECTIONS = 8;

    private final int descriptorLimit;
    private final int ownDescriptors;
    private final int rejectedClientConnections;
    private final int maxClientsByMemory;
    private boolean sharedWithSibling;

    private DescriptorBudget(
            int descriptorLimit,
            int ownDescriptors,
            int rejectedClientConnections,
            int maxClientsByMemory,
            boolean sharedWithSibling) {
        this.descriptorLimit = descriptorLimit;
        this.ownDescriptors = ownDescriptors;
        this.rejectedClientConnections = rejectedClientConnections;
        this.maxClientsByMemory = maxClientsByMemory;
        this.sharedWithSibling = sharedWithSibling;
    }

    /**
     * Creates a budget that reserves the descriptors that are open now for the process itself.
     *
     * @param rejectedClientConnections number of connections above the limit that are accepted only to send an
     *     error response
     * @param maxClientsByMemory number of client connections that the memory can hold
     * @param sharedWithSibling whether a sibling process uses half of the limit
     */
    static DescriptorBudget of(
            EdgeConfig config, int rejectedClientConnections, int maxClientsByMemory, boolean sharedWithSibling) {
        int adminConnections = config.admin() == null ? 0 : AdminServer.MAX_CONNECTIONS;
        int ownDescriptors = openDescriptors() + RESERVED_DESCRIPTORS + adminConnections;
        return new DescriptorBudget(
                config.maxDescriptors(),
                ownDescriptors,
                rejectedClientConnections,
                maxClientsByMemory,
                sharedWithSibling);
    }

    private static int openDescriptors() {
        String[] descriptorNames = new File("/proc/self/fd").list();
        return descriptorNames == null ? DEFAULT_OPEN_DESCRIPTORS : descriptorNames.length;
    }

    /** Sets whether a sibling process uses half of the limit; returns whether the value has changed. */
    boolean setSharedWithSibling(boolean shared) {
        boolean changed = shared != sharedWithSibling;
        sharedWithSibling = shared;
        return changed;
    }

    /** Returns the maximum number of connections to endpoints. */
    int maxUpstreamConnections() {
        int limit = sharedWithSibling ? descriptorLimit / 2 : descriptorLimit;
        return Math.max(MIN_CONNECTIONS, (limit - ownDescriptors) / 2);
    }

    /** Returns the maximum number of client connections over all listeners, which the memory limits as well. */
    int maxClientConnections() {
        int byMemory = sharedWithSibling ? maxClientsByMemory / 2 : maxClientsByMemory;
        int byDescriptors = maxUpstreamConnections() - rejectedClientConnections;
        return Math.max(MIN_CONNECTIONS, Math.min(byMemory, byDescriptors));
    }
}
