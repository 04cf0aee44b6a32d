package lemonrail.core.replication;

/**
 * The last word on one thing: an endpoint of a service or a settings document.
 *
 * @param topic what watchers name: a service, or {@link #SETTINGS} and the document's name
 * @param id its name within the topic
 * @param stamp when and where the word was given
 * @param gone whether it is the word that the thing is no more
 * @param body what is said of it, of no meaning here; empty where it is gone
 */
public record VersionedEntry(String topic, String id, HybridTimestamp stamp, boolean gone, String body) {

    /** What the topics of settings documents begin with; no service's name has a colon. */
    public static final String SETTINGS = "settings:";

    /** Whether this is a settings document. */
    public boolean isSettings() {
        return topic.startsWith(SETTINGS);
    }

    /** Its part in a digest, which is the sum over all that is there. */
    long digest() {
        return digest(topic, id, stamp);
    }

    /** The part of an item in a digest: 64 bits, the same in every process. */
    static long digest(String topic, String id, HybridTimestamp stamp) {
        long hash = 0xcbf29ce484222325L;
        hash = add(hash, topic);
        hash = add(hash, id);
        hash = add(hash, stamp.origin());
        hash = mix(hash ^ stamp.ms());
        return mix(hash + stamp.counter());
    }

    /** 64-bit FNV-1a over the text's UTF-16 units and its end. */
    private static long add(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return (hash ^ 0x10000) * 0x100000001b3L;
    }

    /** The finish of SplitMix64. */
    private static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
