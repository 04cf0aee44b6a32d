package lemonrail.discovery;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.core.replication.WatcherReplica;
import lemonrail.json.InvalidFieldException;

/**
 * One watch response of a control node.
 *
 * @param version the node's version, from which the next request resumes
 * @param full whether the response is a full snapshot
 * @param bootId identifies the node process that issued the version
 * @param replicationAgeMs the time since the node last received data from a peer
 * @param endpoints all endpoints in a full snapshot, the changed ones in a delta
 * @param documents the versions of the followed settings document
 * @param acknowledgedVersions the node's acknowledged version vector; empty in a delta
 */
record ControlResponse(
        long version,
        boolean full,
        String bootId,
        double replicationAgeMs,
        List<EndpointVersion> endpoints,
        List<DocumentVersion> documents,
        Map<String, HybridTimestamp> acknowledgedVersions) {

    /** One version of an endpoint. */
    record EndpointVersion(WatcherReplica.Key key, HybridTimestamp timestamp, EndpointList.Entry entry) {
        boolean isRemoved() {
            return entry.endpoint().state() == EndpointState.GONE;
        }
    }

    /**
     * One version of a settings document.
     *
     * @param text the document's content, or null if the document is removed
     */
    record DocumentVersion(WatcherReplica.Key key, HybridTimestamp timestamp, String text) {
        boolean isRemoved() {
            return text == null;
        }
    }

    /**
     * Parses a complete response before any of it is applied, so that an invalid response has no effect.
     *
     * @param followedDocument the name of the followed settings document, or null for none
     * @throws IOException if the bytes are not a control node's response
     * @throws IllegalArgumentException if a field is invalid
     */
    static ControlResponse parse(byte[] json, EndpointList.Names names, String followedDocument) throws IOException {
        Map<?, ?> fields = EndpointListReader.parseObject(json);
        EndpointList list = EndpointListReader.read(fields, names);
        if (!(fields.get("node") instanceof String bootId)) {
            throw new IOException("response is not from a control node: field node is missing or not a string");
        }
        return new ControlResponse(
                list.version(),
                list.full(),
                bootId,
                fields.get("age_ms") instanceof Double ageMs ? ageMs : 0,
                readEndpoints(fields, list),
                readDocuments(fields, followedDocument),
                readAcknowledgedVersions(fields));
    }

    private static List<EndpointVersion> readEndpoints(Map<?, ?> fields, EndpointList list) {
        List<Map<?, ?>> objects = EndpointListReader.readEndpointObjects(fields);
        List<EndpointVersion> endpoints = new ArrayList<>();
        for (int i = 0; i < objects.size(); i++) {
            Map<?, ?> object = objects.get(i);
            WatcherReplica.Key key = new WatcherReplica.Key(readText(object, "service"), readText(object, "id"));
            HybridTimestamp timestamp = HybridTimestamp.parse(readText(object, "stamp"));
            endpoints.add(new EndpointVersion(key, timestamp, list.entries().get(i)));
        }
        return endpoints;
    }

    private static String readText(Map<?, ?> object, String field) {
        if (object.get(field) instanceof String text) {
            return text;
        }
        throw new InvalidFieldException("servers[]." + field, null);
    }

    private static List<DocumentVersion> readDocuments(Map<?, ?> fields, String followedDocument) {
        List<DocumentVersion> documents = new ArrayList<>();
        if (followedDocument == null || !(fields.get("settings") instanceof List<?> elements)) {
            return documents;
        }
        WatcherReplica.Key key =
                new WatcherReplica.Key(VersionedEntry.settingsTopic(followedDocument), followedDocument);
        for (Object element : elements) {
            if (element instanceof Map<?, ?> object && followedDocument.equals(object.get("name"))) {
                HybridTimestamp timestamp = HybridTimestamp.parse(String.valueOf(object.get("stamp")));
                boolean removed = Boolean.TRUE.equals(object.get("gone"));
                documents.add(new DocumentVersion(key, timestamp, removed ? null : String.valueOf(object.get("text"))));
            }
        }
        return documents;
    }

    private static Map<String, HybridTimestamp> readAcknowledgedVersions(Map<?, ?> fields) {
        Map<String, HybridTimestamp> versions = new LinkedHashMap<>();
        if (fields.get("heard") instanceof Map<?, ?> encoded) {
            encoded.forEach((origin, timestamp) ->
                    versions.put(String.valueOf(origin), HybridTimestamp.parse(String.valueOf(timestamp))));
        }
        return versions;
    }
}
