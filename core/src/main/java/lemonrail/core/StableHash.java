package lemonrail.core;

/** A string hash that is the same in every process and in every version of this project. */
public final class StableHash {

    private static final int FNV_OFFSET_BASIS = 0x811c9dc5;
    private static final int FNV_PRIME = 0x01000193;
    /** Multiplier of the final mixing step, which gives similar names very different hashes. */
    private static final int MIX_MULTIPLIER = 0x7feb352d;

    private static final long UNSIGNED_INT_MASK = 0xffffffffL;

    private StableHash() {}

    /** Returns the mixed 32-bit FNV-1a hash of the text's UTF-16 units, from 0 to 2^32 - 1. */
    public static long of(String text) {
        int hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash ^= hash >>> 16;
        hash *= MIX_MULTIPLIER;
        hash ^= hash >>> 15;
        return hash & UNSIGNED_INT_MASK;
    }
}
