package lemonrail.core;

import java.util.ArrayList;
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

/** Turns the wire's settings object into {@link BalancerSettings}; what it does not know it passes over. */
public final class SettingsReader {

    private SettingsReader() {}

    /**
     * The settings that the decisions need, from the object with maps for its objects, lists for its arrays
     * and {@link Double} for its numbers.
     */
    public static BalancerSettings settings(Map<String, Object> p) {
        List<RequestClass> classes = new ArrayList<>();
        for (Map<String, Object> c : maps(p, "classes")) {
            classes.add(new RequestClass(
                    text(c, "name", ""),
                    number(c, "slo-ms", 0),
                    number(c, "hard-limit-ms", 0),
                    number(c, "worth", 1),
                    number(c, "late-worth", 0),
                    effect(text(c, "effect", "once")),
                    group(text(c, "group", "all")),
                    number(c, "memory-span-ms", 0),
                    flag(c, "stream")));
        }
        List<TenantQuota> tenants = new ArrayList<>();
        for (Map<String, Object> t : maps(p, "projects")) {
            tenants.add(new TenantQuota(text(t, "name", ""), number(t, "allowance-per-s", 0), number(t, "share", 0)));
        }
        Map<String, Object> l = map(p, "limits");
        AttemptLimits limits = new AttemptLimits(
                (int) number(l, "try-limit", 1),
                flag(l, "parallel-tries"),
                flag(l, "cancel"),
                number(l, "max-retry-after-ms", 0),
                number(l, "dial-timeout-ms", 250));
        Map<String, Object> r = map(p, "rules");
        SlowStartSettings slowStart = new SlowStartSettings(
                number(r, "cold-share", 1),
                number(r, "cold-ms", 0),
                number(r, "tip-multiple", 1),
                number(r, "fall-ms", 1000));
        DrainSettings drain = new DrainSettings(number(r, "drain-grace-ms", 0));
        String weights = text(p, "weight-kind", "silent");
        return new BalancerSettings(
                (int) number(p, "replicas-of-me", 1),
                (int) number(p, "slot-no", 0),
                (int) number(p, "zone", 0),
                (int) number(p, "tier", 0),
                text(p, "membership-mode", "pushed").equals("on_request"),
                weights.equals("nominal") || weights.equals("rough"),
                number(p, "over-share-worth", 1),
                number(map(p, "prices"), "cross-zone", 0),
                classes,
                tenants,
                limits,
                slowStart,
                drain,
                number(r, "ask-within-ms", 10_000));
    }

    private static Idempotency effect(String word) {
        return switch (word) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.KEYED;
            case "once" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new IllegalArgumentException("setting classes[].effect is unknown: " + word);
        };
    }

    private static DeduplicationScope group(String word) {
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
