package lemonrail.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemonrail.core.replication.AppliedVersions;
import lemonrail.core.replication.WatcherReport;

/**
 * A summary of the watchers at one node.
 *
 * @param watcherCount the number of active watchers
 * @param documents for each followed settings document, the versions applied and rejected
 */
public record WatcherSummary(int watcherCount, List<AppliedVersions.Summary> documents) {

    static WatcherSummary of(AppliedVersions appliedVersions, long nowMs) {
        return new WatcherSummary(appliedVersions.watcherCount(nowMs), appliedVersions.summaries(nowMs));
    }

    /** Returns the fields of the JSON object that describes the watchers. */
    public Map<String, Object> toJson() {
        List<Object> documentsJson = new ArrayList<>();
        documents.forEach(document -> documentsJson.add(toJson(document)));
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("watchers", watcherCount);
        json.put("settings", documentsJson);
        return json;
    }

    private static Map<String, Object> toJson(AppliedVersions.Summary summary) {
        List<Object> rejectionsJson = new ArrayList<>();
        summary.rejections().forEach(report -> rejectionsJson.add(toJson(report)));
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("document", summary.document());
        json.put("watchers", summary.watchers());
        json.put("oldest", summary.oldestApplied().encode());
        json.put("oldest_at", summary.oldestWatchers());
        json.put("refusals", summary.rejectionCount());
        json.put("refused", rejectionsJson);
        return json;
    }

    private static Map<String, Object> toJson(WatcherReport report) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("name", report.watcher());
        json.put("stamp", report.rejected().encode());
        json.put("why", report.rejectionReason());
        return json;
    }
}
