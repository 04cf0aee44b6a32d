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
 * Reads the platform's settings object into {@link BalancerSettings}. This is the one place that knows the platform's
 * field names; unknown fields are ignored. Objects are maps, arrays are lists and numbers are {@link Double}.
 */
public final class SettingsReader {

    private SettingsReader() {}

    /**
     * Reads the settings that the balancer needs.
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

    private static RequestClass requestClass(Map<String, Object> from) {
        return new RequestClass(
                text(from, "name", ""),
                number(from, "slo-ms", 0),
                number(from, "hard-limit-ms", 0),
                number(from, "worth", 1),
                number(from, "late-worth", 0),
                idempotency(text(from, "effect", "once")),
                deduplicationScope(text(from, "group", "all")),
                number(from, "memory-span-ms", 0),
                flag(from, "stream"));
    }

    private static TenantQuota tenantQuota(Map<String, Object> from) {
        return new TenantQuota(text(from, "name", ""), number(from, "allowance-per-s", 0), number(from, "share", 0));
    }

    private static AttemptLimits attemptLimits(Map<String, Object> from) {
        return new AttemptLimits(
                (int) number(from, "try-limit", 1),
                flag(from, "parallel-tries"),
                flag(from, "cancel"),
                number(from, "max-retry-after-ms", 0),
                number(from, "dial-timeout-ms", 250));
    }

    private static SlowStartSettings slowStart(Map<String, Object> from) {
        return new SlowStartSettings(
                number(from, "cold-share", 1),
                number(from, "cold-ms", 0),
                number(from, "tip-multiple", 1),
                number(from, "fall-ms", 1000));
    }

    private static Idempotency idempotency(String word) {
        return switch (word) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.KEYED;
            case "once" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new IllegalArgumentException("setting classes[].effect is unknown: " + word);
        };
    }

    private static DeduplicationScope deduplicationScope(String word) {
        return switch (word) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new IllegalArgumentException("setting classes[].group is unknown: " + word);
        };
    }

    private static double number(Map<String, Object> from, String name, double absent) {
        Object value = from.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new IllegalArgumentException("setting " + name + " should be a number but is " + value);
    }

    private static String text(Map<String, Object> from, String name, String absent) {
        Object value = from.get(name);
        return value == null ? absent : value.toString();
    }

    private static boolean flag(Map<String, Object> from, String name) {
        return Boolean.TRUE.equals(from.get(name));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> map(Map<String, Object> from, String name) {
        return from.get(name) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> maps(Map<String, Object> from, String name) {
        return from.get(name) instanceof List<?> list ? (List<Map<String, Object>>) list : List.of();
    }
}
