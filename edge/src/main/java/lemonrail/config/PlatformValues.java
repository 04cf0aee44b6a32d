package lemonrail.config;

import java.util.ArrayList;
import java.util.List;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.TenantQuota;
import lemonrail.discovery.EndpointList;

/** Lists the values of the platform's JSON under the keys of the operators' file. */
final class PlatformValues {

    private final String json;
    private final List<LoadedConfiguration.Value> values = new ArrayList<>();

    private PlatformValues(String json) {
        this.json = json;
    }

    /** Returns the values of a configuration that was read from the platform's file. */
    static List<LoadedConfiguration.Value> of(PlatformFile file, EdgeConfig config) {
        PlatformValues values = new PlatformValues("platform JSON " + file.file());
        values.addEdge(file, config);
        values.addRequests(config);
        values.addLimits(config);
        return values.values;
    }

    private void addEdge(PlatformFile file, EdgeConfig config) {
        put("name", config.name());
        add("state-dir", config.stateFolder(), "environment TMPDIR", false);
        put("seed", Long.toHexString(config.seed()));
        put("listeners[0].address", config.listeners().get(0));
        if (config.admin() != null) {
            add(
                    "admin.address",
                    config.admin(),
                    file.environment().containsKey("GW_MGMT") ? "environment GW_MGMT, or " + json : json,
                    false);
        }
        add("discovery.address", config.discovery(), json, true);
        if (config.discoveryWaitMs() != null) {
            add("discovery.wait", config.discoveryWaitMs() + "ms", "environment LEMONRAIL_DISCOVERY_WAIT", false);
        }
    }

    private void addRequests(EdgeConfig config) {
        for (RequestClass requestClass : config.settings().classes()) {
            put(
                    "classes." + requestClass.name(),
                    requestClass.idempotency() + ", aim " + requestClass.latencyObjectiveMs() + "ms, deadline "
                            + requestClass.deadlineMs() + "ms, worth " + requestClass.priorityWeight());
        }
        for (TenantQuota tenant : config.settings().tenants()) {
            put("tenants." + tenant.name(), tenant.requestsPerSecond() + " requests per second");
        }
        for (EndpointList.Entry entry : config.initialEndpoints().entries()) {
            add(
                    "endpoints." + entry.endpoint().id(),
                    entry.address(),
                    json + " (until the first list from discovery)",
                    true);
        }
    }

    private void addLimits(EdgeConfig config) {
        put("limits.memory", (long) config.memoryMb() + "MiB");
        put("limits.descriptors", config.maxDescriptors());
        put("limits.attempts", config.settings().limits().maxAttempts());
        put("limits.connect-timeout", config.settings().limits().connectTimeoutMs() + "ms");
        put("limits.idle-timeout", config.idleCloseMs() + "ms");
        add("logging.format", "plain", "default", false);
    }

    private void put(String key, Object value) {
        add(key, value, json, false);
    }

    private void add(String key, Object value, String origin, boolean reloadable) {
        values.add(new LoadedConfiguration.Value(key, String.valueOf(value), origin, reloadable));
    }
}
