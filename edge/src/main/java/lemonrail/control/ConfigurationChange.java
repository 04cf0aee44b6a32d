package lemonrail.control;

import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.VersionedEntry;

/**
 * A validated change of an operator.
 *
 * @param topic the service, or the topic of a settings document
 * @param id the endpoint, or the document's name
 * @param removed whether the entry is removed
 * @param body the new content, empty for a removal
 * @param asOfMs the time that the change stands for, {@link ReplicatedStore#AS_OF_NOW} for the present
 */
public record ConfigurationChange(String topic, String id, boolean removed, String body, long asOfMs) {

    /**
     * Adds or updates an endpoint.
     *
     * @param json the endpoint in the platform's form
     * @throws IllegalArgumentException if a field is invalid, naming it
     */
    public static ConfigurationChange endpoint(String service, String id, byte[] json) {
        String topic = EntryNames.require("service", service);
        return new ConfigurationChange(
                topic, id, false, EndpointBody.encode(id, EntryCodec.parseObject(json)), ReplicatedStore.AS_OF_NOW);
    }

    /** Removes an endpoint. */
    public static ConfigurationChange removeEndpoint(String service, String id) {
        String topic = EntryNames.require("service", service);
        return new ConfigurationChange(topic, EntryNames.require("id", id), true, "", ReplicatedStore.AS_OF_NOW);
    }

    /** Adds or updates a settings document. */
    public static ConfigurationChange settings(String name, String text) {
        String topic = VersionedEntry.settingsTopic(EntryNames.require("settings", name));
        return new ConfigurationChange(topic, name, false, EntryCodec.requireDocument(text), ReplicatedStore.AS_OF_NOW);
    }

    /** Removes a settings document. */
    public static ConfigurationChange removeSettings(String name) {
        String topic = VersionedEntry.settingsTopic(EntryNames.require("settings", name));
        return new ConfigurationChange(topic, name, true, "", ReplicatedStore.AS_OF_NOW);
    }

    /** Returns the same change on behalf of a given time. */
    public ConfigurationChange asOf(long timeMs) {
        return new ConfigurationChange(topic, id, removed, body, timeMs);
    }
}
