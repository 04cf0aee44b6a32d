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
 * Encodes and decodes entries in the JSON format of the watch protocol: endpoints in the field {@code servers},
 * settings documents in {@code settings}. Both fields include tombstones.
 */
final class EntryCodec {

    /** The maximum length of a settings document. */
    static final int MAX_DOCUMENT_CHARS = 64 * 1024;

    private static final String STATE_REMOVED = "terminated";

    private EntryCodec() {}

    /**
     * Parses a JSON object.
     *
     * @throws IllegalArgumentException if the bytes are not a JSON object
     */
    static Map<?, ?> parseObject(byte[] json) {
        try {
            if (Json.parse(json) instanceof Map<?, ?> fields) {
                return fields;
            }
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "invalid JSON: " + e.getMessage().lines().findFirst().orElse(""), e);
        }
        throw new IllegalArgumentException("not a JSON object");
    }

    /**
     * Returns the value if it is a settings document.
     *
     * @throws IllegalArgumentException if the value is not a string or too long
     */
    static String requireDocument(Object value) {
        if (value instanceof String document && document.length() <= MAX_DOCUMENT_CHARS) {
            return document;
        }
        throw new IllegalArgumentException(
                "a settings document must be a string of at most " + MAX_DOCUMENT_CHARS + " characters");
    }

    /** Encodes entries as the fields {@code servers} and {@code settings} of a JSON object, without its braces. */
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

    /** Appends the stored JSON object with the fields {@code service} and {@code stamp} added. */
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
     * Decodes the entries of a peer's response or of a snapshot. Each entry is validated as if an operator had sent
     * it, except that unknown fields are ignored. Invalid entries are skipped.
     *
     * @param onInvalidEntry receives the problem of each skipped entry
     * @throws InvalidFieldException if an element of either field is not a JSON object
     */
    static List<VersionedEntry> decodeEntries(Map<?, ?> response, Consumer<String> onInvalidEntry) {
        List<VersionedEntry> entries = new ArrayList<>();
        for (Map<?, ?> fields : readObjects(response, "servers")) {
            try {
                entries.add(decodeEndpoint(fields));
            } catch (IllegalArgumentException e) {
                onInvalidEntry.accept(e.getMessage());
            }
        }
        for (Map<?, ?> fields : readObjects(response, "settings")) {
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
                readTimestamp(fields),
                removed,
                removed ? "" : EndpointBody.encodeKnownFields(id, fields));
    }

    private static VersionedEntry decodeDocument(Map<?, ?> fields) {
        String name = EntryNames.require("settings[].name", fields.get("name"));
        boolean removed = Boolean.TRUE.equals(fields.get("gone"));
        return new VersionedEntry(
                VersionedEntry.settingsTopic(name),
                name,
                readTimestamp(fields),
                removed,
                removed ? "" : requireDocument(fields.get("text")));
    }

    private static List<Map<?, ?>> readObjects(Map<?, ?> response, String field) {
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

    private static HybridTimestamp readTimestamp(Map<?, ?> fields) {
        HybridTimestamp timestamp = HybridTimestamp.parse(String.valueOf(fields.get("stamp")));
        if (!EntryNames.isOrigin(timestamp.origin())) {
            throw new InvalidFieldException("stamp", fields.get("stamp"));
        }
        return timestamp;
    }

    /** Encodes an acknowledged version vector as the value of the field {@code heard}. */
    static Map<String, Object> encodeVersions(Map<String, HybridTimestamp> acknowledgedVersions) {
        Map<String, Object> encoded = new LinkedHashMap<>();
        acknowledgedVersions.forEach((node, timestamp) -> encoded.put(node, timestamp.encode()));
        return encoded;
    }

    /** Decodes the acknowledged version vector in the field {@code heard}; empty if the field is missing. */
    static Map<String, HybridTimestamp> decodeVersions(Map<?, ?> response) {
        Map<String, HybridTimestamp> versions = new LinkedHashMap<>();
        if (response.get("heard") instanceof Map<?, ?> encoded) {
            encoded.forEach((node, timestamp) ->
                    versions.put(EntryNames.require("heard", node), HybridTimestamp.parse(String.valueOf(timestamp))));
        }
        return versions;
    }
}
