package lemonrail.config;

import java.util.List;

/** The schema of a settings document: the keys of {@link Schema} that control nodes may change at run time. */
final class SettingsSchema {

    static final ConfigKey<Double> LATENCY_OBJECTIVE = Schema.LATENCY_OBJECTIVE.asOptional();
    static final ConfigKey<Double> DEADLINE = Schema.DEADLINE.asOptional();
    static final ConfigKey<Double> PRIORITY_WEIGHT = Schema.PRIORITY_WEIGHT.asOptional();
    static final ConfigKey<Double> LATE_RESPONSE_WEIGHT = Schema.LATE_RESPONSE_WEIGHT.asOptional();
    static final ConfigKey<Integer> ATTEMPTS = Schema.ATTEMPTS.asOptional();
    static final ConfigKey<Double> MAX_RETRY_AFTER = Schema.MAX_RETRY_AFTER.asOptional();

    static final ConfigTable ROOT = new ConfigTable("", 0, "a settings document", List.of());
    static final ConfigTable CLASSES = new ConfigTable(
            Schema.CLASSES.name(),
            Schema.CLASSES.maxCount(),
            "overrides of request classes, identified by name",
            List.of(Schema.CLASS_NAME, LATENCY_OBJECTIVE, DEADLINE, PRIORITY_WEIGHT, LATE_RESPONSE_WEIGHT));
    static final ConfigTable LIMITS =
            new ConfigTable(Schema.LIMITS.name(), 0, "limits", List.of(ATTEMPTS, MAX_RETRY_AFTER));

    private SettingsSchema() {}
}
