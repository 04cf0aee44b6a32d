package lemonrail.core;

import java.util.List;
import java.util.Map;
import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.DeduplicationScope;
import lemonrail.core.balancer.DrainSettings;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.SlowStartSettings;
import lemonrail.core.balancer.TenantQuota;

/**
 * Reads the platform's settings object into {@link BalancerSettings}. No other class knows the platform's field names.
 * Unknown fields are ignored. Objects are maps, arrays are lists and numbers are {@link Double}.
 */
public final class SettingsReader {

    private SettingsReader() {}

    /**
     * Reads the settings that the balancer needs; absent fields get default values.
     *
     * @throws IllegalArgumentException naming the setting that is missing, of the wrong type or out of range
     */
    public static BalancerSettings read(Map<String, Object> settings) {
        Map<String, Object> rules = map(settings, "rules");
        List<RequestClass> classes = maps(settings, "classes").stream()
                .map(SettingsReader::requestClass)
                .toList();
        List<TenantQuota> tenants = maps(settings, "projects").stream()
                .map(SettingsReader::tenantQuota)
                .toList();
        AttemptLimits limits = attemptLimits(map(settings, "limits"));
        SlowStartSettings slowStart = slowStart(rules);
        DrainSettings drain = new DrainSettings(number(rules, "drain-grace-ms", 0));
        return new BalancerSettings(
                (int) number(settings, "replicas-of-me", 1),
                (int) number(settings, "slot-no", 0),
                (int) number(settings, "zone", 0),
                (int) number(settings, "tier", 0),
                text(settings, "membership-mode", "pushed").equals("on_request"),
                isWeighted(text(settings, "weight-kind", "silent")),
                number(settings, "over-share-worth", 1),
                number(map(settings, "prices"), "cross-zone", 0),
                classes,
                tenants,
                limits,
                slowStart,
                drain,
                number(rules, "ask-within-ms", 10_000));
    }

    private static boolean isWeighted(String weightKind) {
        return weightKind.equals("nominal") || weightKind.equals("rough");
    }

    private static RequestClass requestClass(Map<String, Object> fields) {
        return new RequestClass(
                text(fields, "name", ""),
                number(fields, "slo-ms", 0),
                number(fields, "hard-limit-ms", 0),
                number(fields, "worth", 1),
                number(fields, "late-worth", 0),
                idempotency(text(fields, "effect", "once")),
                deduplicationScope(text(fields, "group", "all")),
                number(fields, "memory-span-ms", 0),
                flag(fields, "stream"));
    }

    private static TenantQuota tenantQuota(Map<String, Object> fields) {
        return new TenantQuota(
                text(fields, "name", ""), number(fields, "allowance-per-s", 0), number(fields, "share", 0));
    }

    private static AttemptLimits attemptLimits(Map<String, Object> fields) {
        return new AttemptLimits(
                (int) number(fields, "try-limit", 1),
                flag(fields, "parallel-tries"),
                flag(fields, "cancel"),
                number(fields, "max-retry-after-ms", 0),
                number(fields, "dial-timeout-ms", 250));
    }

    private static SlowStartSettings slowStart(Map<String, Object> fields) {
        return new SlowStartSettings(
                number(fields, "cold-share", 1),
                number(fields, "cold-ms", 0),
                number(fields, "tip-multiple", 1),
                number(fields, "fall-ms", 1000));
    }

    private static Idempotency idempotency(String value) {
        return switch (value) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.KEYED;
            case "once" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new IllegalArgumentException("setting classes[].effect has an unknown value: " + value);
        };
    }

    private static DeduplicationScope deduplicationScope(String value) {
        return switch (value) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new IllegalArgumentException("setting classes[].group has an unknown value: " + value);
        };
    }

    private static double number(Map<String, Object> fields, String name, double defaultValue) {
        Object value = fields.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new IllegalArgumentException("setting " + name + " must be a number but is " + value);
    }

    private static String text(Map<String, Object> fields, String name, String defaultValue) {
        Object value = fields.get(name);
        return value == null ? defaultValue : value.toString();
    }

    private static boolean flag(Map<String, Object> fields, String name) {
        return Boolean.TRUE.equals(fields.get(name));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> map(Map<String, Object> fields, String name) {
        return fields.get(name) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> maps(Map<String, Object> fields, String name) {
        return fields.get(name) instanceof List<?> list ? (List<Map<String, Object>>) list : List.of();
    }
}
