package lemonrail.config;

import java.util.ArrayList;
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
 * A settings document of the control nodes: in the operators' form, what may change while edges run. It is
 * laid over the settings of an edge's own file, as a whole or not at all.
 */
public final class SettingsDocument {

    private static final String NAME = "settings";

    private final TomlDocument document;
    private final Map<String, Map<String, Double>> classes = new HashMap<>();
    private final Map<String, TableReader> classSections = new HashMap<>();
    private final Map<String, Double> rates = new HashMap<>();
    private final Map<String, TableReader> tenantSections = new HashMap<>();
    private Integer attempts;
    private Double retryAfterMs;

    private SettingsDocument(String text) {
        document = TomlDocument.of(text, NAME);
        document.top(Schema.LIVE_ROOT, List.of(Schema.LIVE_CLASSES, Schema.TENANTS, Schema.LIVE_LIMITS));
        Set<String> names = new HashSet<>();
        for (TableReader section : document.all(Schema.LIVE_CLASSES)) {
            String name = section.get(Schema.CLASS_NAME);
            once(section, Schema.CLASS_NAME, name, names);
            Map<String, Double> values = new HashMap<>();
            Schema.OF_CLASS.forEach((key, type) -> values.put(key, section.get(type)));
            classes.put(name, values);
            classSections.put(name, section);
        }
        names.clear();
        for (TableReader section : document.all(Schema.TENANTS)) {
            String name = section.get(Schema.TENANT);
            once(section, Schema.TENANT, name, names);
            rates.put(name, section.get(Schema.RATE));
            tenantSections.put(name, section);
        }
        TableReader limits = document.one(Schema.LIVE_LIMITS);
        attempts = limits.get(Schema.ANY_ATTEMPTS);
        retryAfterMs = limits.get(Schema.ANY_RETRY_AFTER);
    }

    private static void once(TableReader section, ConfigKey<String> key, String name, Set<String> names) {
        if (name != null && !names.add(name)) {
            section.contradicts(key, "is there twice; each must be there once");
        }
    }

    /** Checks what can be checked without an edge; a {@link ConfigException} names all that is wrong. */
    public static void check(String text) {
        new SettingsDocument(text).document.check();
    }

    /** An edge's settings with what a document says; a {@link ConfigException} names all that is wrong. */
    public static BalancerSettings over(BalancerSettings own, String text) {
        SettingsDocument read = new SettingsDocument(text);
        read.document.check();
        List<RequestClass> classes = own.classes().stream().map(read::changed).toList();
        List<TenantQuota> tenants = own.tenants().stream().map(read::changed).toList();
        unknown(
                read.classSections,
                Schema.CLASS_NAME,
                classes.stream().map(RequestClass::name).toList());
        unknown(
                read.tenantSections,
                Schema.TENANT,
                tenants.stream().map(TenantQuota::name).toList());
        for (RequestClass kind : classes) {
            if (own.limits().connectTimeoutMs() > kind.deadlineMs()) {
                read.document.wrong(
                        "classes",
                        kind.name(),
                        "this edge's limits.connect-timeout is longer than the deadline of this class");
            }
        }
        read.document.check();
        AttemptLimits limits = own.limits();
        return new BalancerSettings(
                own.balancers(),
                own.balancerIndex(),
                own.zone(),
                own.tier(),
                own.pollsEndpoints(),
                own.weighted(),
                own.overQuotaWeight(),
                own.crossZoneCost(),
                classes,
                tenants,
                new AttemptLimits(
                        read.attempts == null ? limits.maxAttempts() : read.attempts,
                        limits.parallelAttempts(),
                        limits.cancel(),
                        read.retryAfterMs == null ? limits.maxRetryAfterMs() : read.retryAfterMs,
                        limits.connectTimeoutMs()),
                own.slowStart(),
                own.drain(),
                own.pollIntervalMs());
    }

    private static void unknown(Map<String, TableReader> named, ConfigKey<String> key, List<String> there) {
        List<String> names = new ArrayList<>(named.keySet());
        names.removeAll(there);
        names.forEach(name -> named.get(name).contradicts(key, "is unknown to this edge; it has " + there));
    }

    private RequestClass changed(RequestClass kind) {
        Map<String, Double> values = classes.getOrDefault(kind.name(), Map.of());
        RequestClass changed = new RequestClass(
                kind.name(),
                or(values.get("aim"), kind.latencyObjectiveMs()),
                or(values.get("deadline"), kind.deadlineMs()),
                or(values.get("worth"), kind.priorityWeight()),
                or(values.get("late-worth"), kind.lateResponseWeight()),
                kind.idempotency(),
                kind.deduplicationScope(),
                kind.deduplicationWindowMs(),
                kind.stream());
        TableReader section = classSections.get(kind.name());
        if (section != null && changed.latencyObjectiveMs() > changed.deadlineMs()) {
            section.contradicts(Schema.CLASS_NAME, "would have an aim above its deadline");
        }
        if (section != null && changed.lateResponseWeight() > changed.priorityWeight()) {
            section.contradicts(Schema.CLASS_NAME, "would have a late-worth above its worth");
        }
        return changed;
    }

    private TenantQuota changed(TenantQuota tenant) {
        return new TenantQuota(tenant.name(), or(rates.get(tenant.name()), tenant.requestsPerSecond()), tenant.share());
    }

    private static double or(Double value, double own) {
        return value == null ? own : value;
    }
}
