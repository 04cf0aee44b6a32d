package lemonrail.core.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Who watches at a node, which settings are in force at each watcher, and who has refused which and why. */
public final class AppliedVersions {

    /** Watchers that have not called for so long are forgotten: the longest wait, and twice as much more. */
    public static final long SILENT_MS = 180_000;
    /** Names that a summary tells of each kind. */
    private static final int MOST_NAMES = 8;

    private static final int MOST_WATCHERS = 8192;

    /**
     * What a watcher has said.
     *
     * @param document the settings document that it follows, empty if none
     * @param inForce the stamp of the one in force there, {@link HybridTimestamp#NONE} for that of its own file
     * @param refused the stamp of the last one that it has refused, or null
     * @param why in one line, empty if nothing is refused
     */
    public record Word(String name, String document, HybridTimestamp inForce, HybridTimestamp refused, String why) {}

    /**
     * Of one document at the watchers of a node.
     *
     * @param watchers how many follow it
     * @param oldest the lowest stamp in force
     * @param oldestNames some of those who have it
     * @param refusals how many have refused one that is newer than what they have in force
     * @param refused some of them
     */
    public record Summary(
            String document,
            int watchers,
            HybridTimestamp oldest,
            List<String> oldestNames,
            int refusals,
            List<Word> refused) {}

    private record Seen(Word word, long atMs) {}

    private final LinkedHashMap<String, Seen> seen = new LinkedHashMap<>();

    /** A watcher has called. */
    public void called(long nowMs, Word word) {
        seen.remove(word.name());
        seen.put(word.name(), new Seen(word, nowMs));
        var oldest = seen.values().iterator();
        while (oldest.hasNext()) {
            if (oldest.next().atMs() >= nowMs - SILENT_MS && seen.size() <= MOST_WATCHERS) {
                break;
            }
            oldest.remove();
        }
    }

    /** How many have called of late. */
    public int watchers(long nowMs) {
        return (int) seen.values().stream()
                .filter(one -> one.atMs() >= nowMs - SILENT_MS)
                .count();
    }

    /** What is in force, for each document that is followed. */
    public List<Summary> summaries(long nowMs) {
        Map<String, List<Word>> byDocument = new TreeMap<>();
        seen.values().stream()
                .filter(one -> one.atMs() >= nowMs - SILENT_MS)
                .map(Seen::word)
                .filter(word -> !word.document().isEmpty())
                .forEach(word -> byDocument
                        .computeIfAbsent(word.document(), name -> new ArrayList<>())
                        .add(word));
        List<Summary> all = new ArrayList<>();
        byDocument.forEach((document, words) -> {
            HybridTimestamp oldest = words.stream()
                    .map(Word::inForce)
                    .min(Comparator.naturalOrder())
                    .orElse(HybridTimestamp.NONE);
            List<Word> refused = words.stream()
                    .filter(word -> word.refused() != null && word.refused().compareTo(word.inForce()) > 0)
                    .toList();
            all.add(new Summary(
                    document,
                    words.size(),
                    oldest,
                    words.stream()
                            .filter(word -> word.inForce().equals(oldest))
                            .map(Word::name)
                            .limit(MOST_NAMES)
                            .toList(),
                    refused.size(),
                    refused.stream().limit(MOST_NAMES).toList()));
        });
        return all;
    }
}
