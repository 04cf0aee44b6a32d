package lemonrail.config;

import java.util.ArrayList;
import java.util.List;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.TenantQuota;
import lemonrail.discovery.EndpointList;

/** What the platform's JSON comes to, told in the words of the operators' file. */
final class PlatformValues {

    private final String json;
    private final List<LoadedConfiguration.Value> values = new ArrayList<>();

    private PlatformValues(String json) {
        this.json = json;
    }

    static List<LoadedConfiguration.Value> of(PlatformFile file, EdgeConfig config) {
        PlatformValues all = new PlatformValues("platform JSON " + file.file());
        all.put("name", config.name());
        all.add("state-dir", config.folder(), "environment TMPDIR", false);
        all.put("seed", Long.toHexString(config.seed()));
        all.put("listeners[0].address", config.listeners().get(0));
        if (config.admin() != null) {
            all.add(
                    "admin.address",
                    config.admin(),
                    file.environment().containsKey("GW_MGMT") ? "environment GW_MGMT, or " + all.json : all.json,
                    false);
        }
        all.add("discovery.address", config.discovery(), all.json, true);
        if (config.discoveryWaitMs() != null) {
            all.add("discovery.wait", config.discoveryWaitMs() + "ms", "environment LEMONRAIL_DISCOVERY_WAIT", false);
        }
        for (RequestClass kind : config.settings().classes()) {
            all.put(
                    "classes." + kind.name(),
                    kind.idempotency() + ", aim " + kind.latencyObjectiveMs() + "ms, deadline " + kind.deadlineMs()
                            + "ms, worth " + kind.priorityWeight());
        }
        for (TenantQuota tenant : config.settings().tenants()) {
            all.put("tenants." + tenant.name(), tenant.requestsPerSecond() + " a second");
        }
        for (EndpointList.Entry entry : config.known().entries()) {
            all.add(
                    "endpoints." + entry.endpoint().id(),
                    entry.address(),
                    all.json + " (until discovery speaks)",
                    true);
        }
        all.put("limits.memory", (long) config.memoryMb() + "MiB");
        all.put("limits.descriptors", config.sockets());
        all.put("limits.attempts", config.settings().limits().maxAttempts());
        all.put("limits.connect-timeout", config.settings().limits().connectTimeoutMs() + "ms");
        all.put("limits.idle-timeout", config.idleCloseMs() + "ms");
        all.add("logging.format", "plain", "default", false);
        return all.values;
    }

    private void put(String key, Object value) {
        add(key, value, json, false);
    }

    private void add(String key, Object value, String origin, boolean live) {
        values.add(new LoadedConfiguration.Value(key, String.valueOf(value), origin, live));
    }
}
