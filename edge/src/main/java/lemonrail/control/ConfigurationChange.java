package lemonrail.control;

import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.VersionedEntry;

/**
 * A validated configuration change that an operator requested.
 *
 * @param topic the name of the service, or the topic of a settings document
 * @param id the endpoint's id, or the document's name
 * @param removed whether the change removes the entry
 * @param body the new content, empty for a removal
 * @param asOfMs the time to date the change at, in milliseconds of Unix time, or {@link
 *     ReplicatedStore#AS_OF_NOW} for the current time
 */
public record ConfigurationChange(String topic, String id, boolean removed, String body, long asOfMs) {

    /**
     * Returns a change that adds or updates an endpoint.
     *
     * @param json the endpoint in the JSON format of the platform's discovery
     * @throws IllegalArgumentException if a field is unknown or invalid; the message names the field
     */
    public static ConfigurationChange endpoint(String service, String id, byte[] json) {
        String topic = EntryNames.require("service", service);
        return new ConfigurationChange(
                topic, id, false, EndpointBody.encode(id, EntryCodec.parseObject(json)), ReplicatedStore.AS_OF_NOW);
    }

    /** Returns a change that removes an endpoint. */
    public static ConfigurationChange removeEndpoint(String service, String id) {
        String topic = EntryNames.require("service", service);
        return new ConfigurationChange(topic, EntryNames.require("id", id), true, "", ReplicatedStore.AS_OF_NOW);
    }

    /** Returns a change that adds or updates a settings document. */
    public static ConfigurationChange settings(String name, String text) {
        String topic = VersionedEntry.settingsTopic(EntryNames.require("settings", name));
        return new ConfigurationChange(topic, name, false, EntryCodec.requireDocument(text), ReplicatedStore.AS_OF_NOW);
    }

    /** Returns a change that removes a settings document. */
    public static ConfigurationChange removeSettings(String name) {
        String topic = VersionedEntry.settingsTopic(EntryNames.require("settings", name));
        return new ConfigurationChange(topic, name, true, "", ReplicatedStore.AS_OF_NOW);
    }

    /** Returns the same change, dated at the given time in milliseconds of Unix time. */
    public ConfigurationChange asOf(long timeMs) {
        return new ConfigurationChange(topic, id, removed, body, timeMs);
    }
}
