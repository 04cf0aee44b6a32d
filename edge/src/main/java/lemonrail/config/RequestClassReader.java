package lemonrail.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lemonrail.core.balancer.DeduplicationScope;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.RequestClass;

/** Reads the tables {@code [[classes]]}. */
final class RequestClassReader {

    private RequestClassReader() {}

    /** Returns the classes; omits those read after the first problem of the document was reported. */
    static List<RequestClass> read(TomlDocument document) {
        List<RequestClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TableReader table : document.tables(Schema.CLASSES)) {
            RequestClass requestClass = read(document, table, names);
            if (requestClass != null) {
                classes.add(requestClass);
            }
        }
        if (!document.has(Schema.CLASSES)) {
            document.addProblem("classes", null, "is missing; there must be at least one [[classes]]");
        }
        return classes;
    }

    private static RequestClass read(TomlDocument document, TableReader table, Set<String> names) {
        String name = table.getUnique(Schema.CLASS_NAME, names);
        Idempotency idempotency = table.get(Schema.IDEMPOTENCY);
        Double objectiveMs = table.get(Schema.LATENCY_OBJECTIVE);
        Double deadlineMs = table.get(Schema.DEADLINE);
        if (isAbove(objectiveMs, deadlineMs)) {
            table.addProblem(Schema.LATENCY_OBJECTIVE, "is above the deadline of this class");
        }
        Double weight = table.get(Schema.PRIORITY_WEIGHT);
        Double lateWeight = table.get(Schema.LATE_RESPONSE_WEIGHT);
        if (isAbove(lateWeight, weight)) {
            table.addProblem(Schema.LATE_RESPONSE_WEIGHT, "is above the worth of this class");
        }
        DeduplicationScope scope = table.get(Schema.DEDUPLICATION_SCOPE);
        Double windowMs = table.get(Schema.DEDUPLICATION_WINDOW);
        checkWindow(table, idempotency, windowMs);
        if (document.hasProblems()) {
            return null;
        }
        double effectiveWindowMs = windowMs == null ? 0 : windowMs;
        boolean stream = false;
        return new RequestClass(
                name, objectiveMs, deadlineMs, weight, lateWeight, idempotency, scope, effectiveWindowMs, stream);
    }

    private static boolean isAbove(Double value, Double limit) {
        return value != null && limit != null && value > limit;
    }

    /** Reports a keyed class without a deduplication window, and any other class with one. */
    private static void checkWindow(TableReader table, Idempotency idempotency, Double windowMs) {
        boolean keyed = idempotency == Idempotency.KEYED;
        if (keyed && windowMs == null && !table.has(Schema.DEDUPLICATION_WINDOW)) {
            table.addProblem(
                    Schema.DEDUPLICATION_WINDOW, "is missing; a keyed class must have one, for example \"10s\"");
        } else if (idempotency != null && !keyed && windowMs != null) {
            table.addProblem(Schema.DEDUPLICATION_WINDOW, "is allowed only with effect = \"keyed\"");
        }
    }
}
