package lemonrail.core.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Tracks the watchers of one control node: the settings version that each applies, and the versions that were rejected
 * with the reasons. Not thread-safe; times are in milliseconds.
 */
public final class AppliedVersions {

    /** A watcher that sends no request for this long is dropped. The time is three times the longest watch. */
    public static final long WATCHER_TIMEOUT_MS = 180_000;

    /** The maximum number of watchers in each list of a summary. */
    private static final int MAX_NAMES = 8;

    private static final int MAX_WATCHERS = 8192;

    /**
     * One document's state at the watchers of a node.
     *
     * @param watchers the number of watchers that follow the document
     * @param oldestApplied the lowest version applied by any of them
     * @param oldestWatchers the names of some watchers that apply the lowest version
     * @param rejectionCount the number of watchers that rejected a newer version than they apply
     * @param rejections the reports of some of these watchers
     */
    public record Summary(
            String document,
            int watchers,
            HybridTimestamp oldestApplied,
            List<String> oldestWatchers,
            int rejectionCount,
            List<WatcherReport> rejections) {}

    private record TimedReport(WatcherReport report, long receivedAtMs) {
        boolean isActive(long nowMs) {
            return receivedAtMs >= nowMs - WATCHER_TIMEOUT_MS;
        }
    }

    /** The last report of each watcher, oldest first. */
    private final LinkedHashMap<String, TimedReport> reports = new LinkedHashMap<>();

    /** Records a watcher's report, and drops watchers that have timed out or exceed the maximum number. */
    public void onReport(long nowMs, WatcherReport report) {
        reports.remove(report.watcher());
        reports.put(report.watcher(), new TimedReport(report, nowMs));
        Iterator<TimedReport> oldestFirst = reports.values().iterator();
        while (oldestFirst.hasNext()) {
            if (oldestFirst.next().isActive(nowMs) && reports.size() <= MAX_WATCHERS) {
                break;
            }
            oldestFirst.remove();
        }
    }

    /** Returns the number of active watchers. */
    public int watcherCount(long nowMs) {
        return (int) activeReports(nowMs).count();
    }

    /** Returns a summary for each document that watchers follow, sorted by name. */
    public List<Summary> summaries(long nowMs) {
        Map<String, List<WatcherReport>> byDocument = new TreeMap<>();
        activeReports(nowMs)
                .filter(report -> !report.document().isEmpty())
                .forEach(report -> byDocument
                        .computeIfAbsent(report.document(), name -> new ArrayList<>())
                        .add(report));
        List<Summary> summaries = new ArrayList<>();
        byDocument.forEach((document, documentReports) -> summaries.add(summarize(document, documentReports)));
        return summaries;
    }

    private Stream<WatcherReport> activeReports(long nowMs) {
        return reports.values().stream().filter(timed -> timed.isActive(nowMs)).map(TimedReport::report);
    }

    private static Summary summarize(String document, List<WatcherReport> reports) {
        HybridTimestamp oldest = reports.stream()
                .map(WatcherReport::applied)
                .min(Comparator.naturalOrder())
                .orElse(HybridTimestamp.NONE);
        List<String> oldestWatchers = reports.stream()
                .filter(report -> report.applied().equals(oldest))
                .map(WatcherReport::watcher)
                .limit(MAX_NAMES)
                .toList();
        List<WatcherReport> rejections =
                reports.stream().filter(WatcherReport::hasRejectedNewer).toList();
        return new Summary(
                document,
                reports.size(),
                oldest,
                oldestWatchers,
                rejections.size(),
                rejections.stream().limit(MAX_NAMES).toList());
    }
}
