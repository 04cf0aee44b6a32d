package lemonrail.core.replication;

/**
 * The latest version of one replicated entry: an endpoint of a service, or a settings document.
 *
 * @param topic the unit of subscription: a service, or {@link #SETTINGS_TOPIC_PREFIX} and the document's name
 * @param id the entry's name within the topic
 * @param timestamp when and where this version was written
 * @param removed whether this version is a removal (a tombstone)
 * @param body the entry's content, opaque to replication; empty for a removal
 */
public record VersionedEntry(String topic, String id, HybridTimestamp timestamp, boolean removed, String body) {

    /** The prefix of the topics of settings documents; a service name cannot contain a colon. */
    public static final String SETTINGS_TOPIC_PREFIX = "settings:";

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    /** The terminator between hashed texts. No UTF-16 unit has this value. */
    private static final long TEXT_END = 0x10000;

    /** Returns the topic of a settings document. */
    public static String settingsTopic(String document) {
        return SETTINGS_TOPIC_PREFIX + document;
    }

    /** Returns whether a topic is that of a settings document. */
    public static boolean isSettingsTopic(String topic) {
        return topic.startsWith(SETTINGS_TOPIC_PREFIX);
    }

    /** Returns whether this is a settings document. */
    public boolean isSettings() {
        return isSettingsTopic(topic);
    }

    /** Returns this entry's contribution to a digest, which is the sum over all live entries. */
    long digest() {
        return digest(topic, id, timestamp);
    }

    /** Returns an entry's contribution to a digest: a 64-bit hash that is the same in every process. */
    static long digest(String topic, String id, HybridTimestamp timestamp) {
        long hash = FNV_OFFSET_BASIS;
        hash = addText(hash, topic);
        hash = addText(hash, id);
        hash = addText(hash, timestamp.origin());
        hash = mix(hash ^ timestamp.timeMs());
        return mix(hash + timestamp.counter());
    }

    /** Continues a 64-bit FNV-1a hash over the text's UTF-16 units and a terminator. */
    private static long addText(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return (hash ^ TEXT_END) * FNV_PRIME;
    }

    /** Returns the value after the SplitMix64 finalizer. */
    private static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
