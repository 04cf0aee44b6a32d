package lemonrail.core;

/** A hash of names that is the same in every process and version. */
public final class StableHash {

    private StableHash() {}

    /** 32-bit FNV-1a over the text's UTF-16 units, finished with a mix; 0 to 2^32 - 1. */
    public static long of(String text) {
        int h = 0x811c9dc5;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x01000193;
        }
        h ^= h >>> 16;
        h *= 0x7feb352d;
        h ^= h >>> 15;
        return h & 0xffffffffL;
    }
}
