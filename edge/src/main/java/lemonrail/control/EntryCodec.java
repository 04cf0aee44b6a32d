package lemonrail.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.json.InvalidFieldException;
import lemonrail.json.Json;

/**
 * Encodes and decodes entries in the form of the watch protocol: endpoints in the field {@code servers},
 * settings documents in {@code settings}, removals of both included.
 */
final class EntryCodec {

    /** The most characters of a settings document. */
    static final int MAX_DOCUMENT_CHARS = 64 * 1024;

    private static final String STATE_REMOVED = "terminated";

    private EntryCodec() {}

    /**
     * Parses a JSON object.
     *
     * @throws IllegalArgumentException if the bytes hold something else
     */
    static Map<?, ?> parseObject(byte[] json) {
        try {
            if (Json.parse(json) instanceof Map<?, ?> fields) {
                return fields;
            }
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "it is no JSON: " + e.getMessage().lines().findFirst().orElse(""), e);
        }
        throw new IllegalArgumentException("it holds no JSON object");
    }

    /** Returns a value that is a settings document of permitted length. */
    static String requireDocument(Object value) {
        if (value instanceof String document && document.length() <= MAX_DOCUMENT_CHARS) {
            return document;
        }
        throw new IllegalArgumentException(
                "a settings document is a text of " + MAX_DOCUMENT_CHARS + " characters at most");
    }

    /** Encodes entries as the fields {@code servers} and {@code settings} of an object, without its braces. */
    static String encodeEntries(List<VersionedEntry> entries) {
        StringBuilder endpoints = new StringBuilder("\"servers\":[");
        StringBuilder settings = new StringBuilder("],\"settings\":[");
        for (VersionedEntry entry : entries) {
            if (entry.isSettings()) {
                startElement(settings);
                settings.append(encodeDocument(entry));
            } else {
                startElement(endpoints);
                appendEndpoint(endpoints, entry);
            }
        }
        return endpoints.append(settings).append(']').toString();
    }

    private static void startElement(StringBuilder array) {
        boolean isFirst = array.charAt(array.length() - 1) == '[';
        array.append(isFirst ? "" : ",");
    }

    private static String encodeDocument(VersionedEntry entry) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", entry.id());
        fields.put("stamp", entry.timestamp().encode());
        fields.put("gone", entry.removed());
        fields.put("text", entry.body());
        return Json.text(fields);
    }

    /** Appends the stored JSON object, extended by service and timestamp. */
    private static void appendEndpoint(StringBuilder endpoints, VersionedEntry entry) {
        String body =
                entry.removed() ? "{\"id\":\"" + entry.id() + "\",\"state\":\"" + STATE_REMOVED + "\"}" : entry.body();
        endpoints
                .append(body, 0, body.length() - 1)
                .append(",\"service\":\"")
                .append(entry.topic())
                .append("\",\"stamp\":\"")
                .append(entry.timestamp().encode())
                .append("\"}");
    }

    /**
     * Decodes the entries of a response of a peer or of a snapshot, validating each like one of an operator.
     *
     * @param onInvalidEntry receives the problem of an entry that is left out, so that the others are kept
     */
    static List<VersionedEntry> decodeEntries(Map<?, ?> response, Consumer<String> onInvalidEntry) {
        List<VersionedEntry> entries = new ArrayList<>();
        for (Map<?, ?> fields : objects(response, "servers")) {
            try {
                entries.add(decodeEndpoint(fields));
            } catch (IllegalArgumentException e) {
                onInvalidEntry.accept(e.getMessage());
            }
        }
        for (Map<?, ?> fields : objects(response, "settings")) {
            try {
                entries.add(decodeDocument(fields));
            } catch (IllegalArgumentException e) {
                onInvalidEntry.accept(e.getMessage());
            }
        }
        return entries;
    }

    private static VersionedEntry decodeEndpoint(Map<?, ?> fields) {
        String id = EntryNames.require("servers[].id", fields.get("id"));
        boolean removed = STATE_REMOVED.equals(fields.get("state"));
        return new VersionedEntry(
                EntryNames.require("servers[].service", fields.get("service")),
                id,
                timestamp(fields),
                removed,
                removed ? "" : EndpointBody.encodeKnownFields(id, fields));
    }

    private static VersionedEntry decodeDocument(Map<?, ?> fields) {
        String name = EntryNames.require("settings[].name", fields.get("name"));
        boolean removed = Boolean.TRUE.equals(fields.get("gone"));
        return new VersionedEntry(
                VersionedEntry.settingsTopic(name),
                name,
                timestamp(fields),
                removed,
                removed ? "" : requireDocument(fields.get("text")));
    }

    private static List<Map<?, ?>> objects(Map<?, ?> response, String field) {
        List<Map<?, ?>> objects = new ArrayList<>();
        if (response.get(field) instanceof List<?> elements) {
            for (Object element : elements) {
                if (!(element instanceof Map<?, ?> fields)) {
                    throw new InvalidFieldException(field + "[]", element);
                }
                objects.add(fields);
            }
        }
        return objects;
    }

    private static HybridTimestamp timestamp(Map<?, ?> fields) {
        HybridTimestamp timestamp = HybridTimestamp.parse(String.valueOf(fields.get("stamp")));
        if (!EntryNames.isOrigin(timestamp.origin())) {
            throw new InvalidFieldException("stamp", fields.get("stamp"));
        }
        return timestamp;
    }

    /** Returns the value of the field {@code heard}, an acknowledged version vector. */
    static Map<String, Object> encodeVersions(Map<String, HybridTimestamp> acknowledgedVersions) {
        Map<String, Object> encoded = new LinkedHashMap<>();
        acknowledgedVersions.forEach((node, timestamp) -> encoded.put(node, timestamp.encode()));
        return encoded;
    }

    /** Decodes the field {@code heard}, an acknowledged version vector; empty if it is missing. */
    static Map<String, HybridTimestamp> decodeVersions(Map<?, ?> response) {
        Map<String, HybridTimestamp> versions = new LinkedHashMap<>();
        if (response.get("heard") instanceof Map<?, ?> encoded) {
            encoded.forEach((node, timestamp) ->
                    versions.put(EntryNames.require("heard", node), HybridTimestamp.parse(String.valueOf(timestamp))));
        }
        return versions;
    }
}
