package lemonrail.config;

import java.util.List;
import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.RequestClass;

/** The table {@code [limits]}; invalid values are null. */
record LimitsTable(
        Long memoryBytes,
        Integer descriptors,
        Integer attempts,
        Double connectTimeoutMs,
        Double idleTimeoutMs,
        Double maxRetryAfterMs) {

    private static final double BYTES_PER_MIB = 1 << 20;

    static LimitsTable read(TomlDocument document, List<RequestClass> classes) {
        TableReader table = document.table(Schema.LIMITS);
        LimitsTable limits = new LimitsTable(
                table.get(Schema.MEMORY),
                table.get(Schema.DESCRIPTORS),
                table.get(Schema.ATTEMPTS),
                table.get(Schema.CONNECT_TIMEOUT),
                table.get(Schema.IDLE_TIMEOUT),
                table.get(Schema.MAX_RETRY_AFTER));
        if (limits.connectTimeoutMs != null
                && classes.stream().anyMatch(requestClass -> limits.connectTimeoutMs > requestClass.deadlineMs())) {
            table.addProblem(Schema.CONNECT_TIMEOUT, "is longer than the deadline of a class");
        }
        return limits;
    }

    double memoryMb() {
        return memoryBytes / BYTES_PER_MIB;
    }

    /** Returns the limits on attempts; to be called for a document without problems. */
    AttemptLimits toAttemptLimits() {
        boolean parallelAttempts = false;
        boolean cancel = true;
        return new AttemptLimits(attempts, parallelAttempts, cancel, maxRetryAfterMs, connectTimeoutMs);
    }
}
