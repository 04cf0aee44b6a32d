package lemonrail.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.TenantQuota;

/**
 * A settings document of the control nodes, in the format of the operators' file. It contains the settings that may
 * change while edges run and overrides those of an edge's own file; an invalid document overrides none of them.
 */
public final class SettingsDocument {

    /** Replaces the name of the file in the messages of problems. */
    private static final String DOCUMENT_NAME = "settings";

    /** The document's values for a class; those that it does not override are null. */
    private record ClassOverride(
            TableReader table,
            Double latencyObjectiveMs,
            Double deadlineMs,
            Double priorityWeight,
            Double lateResponseWeight) {}

    /** The document's values for a tenant; invalid ones are null. */
    private record TenantOverride(TableReader table, Double requestsPerSecond) {}

    private final TomlDocument document;
    private final Map<String, ClassOverride> classes = new HashMap<>();
    private final Map<String, TenantOverride> tenants = new HashMap<>();
    private final Integer maxAttempts;
    private final Double maxRetryAfterMs;

    private SettingsDocument(String text) {
        document = TomlDocument.of(text, DOCUMENT_NAME);
        document.root(SettingsSchema.ROOT, List.of(SettingsSchema.CLASSES, Schema.TENANTS, SettingsSchema.LIMITS));
        readClasses();
        readTenants();
        TableReader limits = document.table(SettingsSchema.LIMITS);
        maxAttempts = limits.get(SettingsSchema.ATTEMPTS);
        maxRetryAfterMs = limits.get(SettingsSchema.MAX_RETRY_AFTER);
    }

    private void readClasses() {
        Set<String> names = new HashSet<>();
        for (TableReader table : document.tables(SettingsSchema.CLASSES)) {
            ClassOverride override = new ClassOverride(
                    table,
                    table.get(SettingsSchema.LATENCY_OBJECTIVE),
                    table.get(SettingsSchema.DEADLINE),
                    table.get(SettingsSchema.PRIORITY_WEIGHT),
                    table.get(SettingsSchema.LATE_RESPONSE_WEIGHT));
            classes.put(table.getUnique(Schema.CLASS_NAME, names), override);
        }
    }

    private void readTenants() {
        Set<String> names = new HashSet<>();
        for (TableReader table : document.tables(Schema.TENANTS)) {
            TenantOverride override = new TenantOverride(table, table.get(Schema.TENANT_RATE));
            tenants.put(table.getUnique(Schema.TENANT_NAME, names), override);
        }
    }

    /**
     * Checks everything that does not depend on the settings of an edge.
     *
     * @throws ConfigException if the document is invalid; lists all problems
     */
    public static void check(String text) {
        new SettingsDocument(text).document.throwIfInvalid();
    }

    /**
     * Returns the settings of an edge with the overrides of a document applied.
     *
     * @param own the settings of the edge's own file
     * @throws ConfigException if the document is invalid or conflicts with the edge's settings; lists all problems
     */
    public static BalancerSettings applyOverrides(BalancerSettings own, String text) {
        SettingsDocument overrides = new SettingsDocument(text);
        overrides.document.throwIfInvalid();
        return overrides.applyTo(own);
    }

    private BalancerSettings applyTo(BalancerSettings own) {
        List<RequestClass> newClasses = own.classes().stream().map(this::apply).toList();
        List<TenantQuota> newTenants = own.tenants().stream().map(this::apply).toList();
        reportUnknownClasses(newClasses.stream().map(RequestClass::name).toList());
        reportUnknownTenants(newTenants.stream().map(TenantQuota::name).toList());
        checkConnectTimeout(own.limits(), newClasses);
        document.throwIfInvalid();
        return new BalancerSettings(
                own.balancers(),
                own.balancerIndex(),
                own.zone(),
                own.tier(),
                own.pollsEndpoints(),
                own.weighted(),
                own.overQuotaWeight(),
                own.crossZoneCost(),
                newClasses,
                newTenants,
                apply(own.limits()),
                own.slowStart(),
                own.drain(),
                own.pollIntervalMs());
    }

    private RequestClass apply(RequestClass own) {
        ClassOverride override = classes.get(own.name());
        if (override == null) {
            return own;
        }
        RequestClass changed = new RequestClass(
                own.name(),
                valueOr(override.latencyObjectiveMs(), own.latencyObjectiveMs()),
                valueOr(override.deadlineMs(), own.deadlineMs()),
                valueOr(override.priorityWeight(), own.priorityWeight()),
                valueOr(override.lateResponseWeight(), own.lateResponseWeight()),
                own.idempotency(),
                own.deduplicationScope(),
                own.deduplicationWindowMs(),
                own.stream());
        if (changed.latencyObjectiveMs() > changed.deadlineMs()) {
            override.table().addProblem(Schema.CLASS_NAME, "would have an aim above its deadline");
        }
        if (changed.lateResponseWeight() > changed.priorityWeight()) {
            override.table().addProblem(Schema.CLASS_NAME, "would have a late-worth above its worth");
        }
        return changed;
    }

    private TenantQuota apply(TenantQuota own) {
        TenantOverride override = tenants.get(own.name());
        return override == null ? own : new TenantQuota(own.name(), override.requestsPerSecond(), own.share());
    }

    private AttemptLimits apply(AttemptLimits own) {
        return new AttemptLimits(
                maxAttempts == null ? own.maxAttempts() : maxAttempts,
                own.parallelAttempts(),
                own.cancel(),
                valueOr(maxRetryAfterMs, own.maxRetryAfterMs()),
                own.connectTimeoutMs());
    }

    private static double valueOr(Double value, double defaultValue) {
        return value == null ? defaultValue : value;
    }

    private void reportUnknownClasses(List<String> known) {
        classes.forEach((name, override) -> reportUnknown(override.table(), Schema.CLASS_NAME, name, known));
    }

    private void reportUnknownTenants(List<String> known) {
        tenants.forEach((name, override) -> reportUnknown(override.table(), Schema.TENANT_NAME, name, known));
    }

    private static void reportUnknown(TableReader table, ConfigKey<String> key, String name, List<String> known) {
        if (!known.contains(name)) {
            table.addProblem(key, "is unknown to this edge; it has " + known);
        }
    }

    private void checkConnectTimeout(AttemptLimits limits, List<RequestClass> newClasses) {
        for (RequestClass requestClass : newClasses) {
            if (limits.connectTimeoutMs() > requestClass.deadlineMs()) {
                document.addProblem(
                        "classes",
                        requestClass.name(),
                        "this edge's limits.connect-timeout is longer than the deadline of this class");
            }
        }
    }
}
