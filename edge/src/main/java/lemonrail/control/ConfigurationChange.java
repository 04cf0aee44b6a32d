package lemonrail.control;

import lemonrail.core.replication.VersionedEntry;

/**
 * A change of an operator's, checked.
 *
 * @param topic the service, or that of a settings document
 * @param body what is said, empty where the thing is gone
 * @param asOfMs the time that it stands for, or {@link Long#MAX_VALUE} for now
 */
public record ConfigurationChange(String topic, String id, boolean removed, String body, long asOfMs) {

    /** An endpoint of a service, in the platform's form as JSON; what is bad names the field. */
    public static ConfigurationChange endpoint(String service, String id, byte[] json) {
        return new ConfigurationChange(
                EntryCodec.word("service", service),
                id,
                false,
                EntryCodec.endpoint(id, EntryCodec.object(json)),
                Long.MAX_VALUE);
    }

    /** An endpoint is no more. */
    public static ConfigurationChange endpointGone(String service, String id) {
        return new ConfigurationChange(
                EntryCodec.word("service", service), EntryCodec.word("id", id), true, "", Long.MAX_VALUE);
    }

    /** A settings document. */
    public static ConfigurationChange settings(String name, String text) {
        return new ConfigurationChange(
                VersionedEntry.SETTINGS_TOPIC_PREFIX + EntryCodec.word("settings", name),
                name,
                false,
                EntryCodec.document(text),
                Long.MAX_VALUE);
    }

    /** A settings document is no more. */
    public static ConfigurationChange settingsGone(String name) {
        return new ConfigurationChange(
                VersionedEntry.SETTINGS_TOPIC_PREFIX + EntryCodec.word("settings", name),
                name,
                true,
                "",
                Long.MAX_VALUE);
    }

    /** The same for what was so at an earlier time. */
    public ConfigurationChange asOf(long ms) {
        return new ConfigurationChange(topic, id, removed, body, ms);
    }
}
