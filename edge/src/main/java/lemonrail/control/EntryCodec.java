package lemonrail.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.discovery.EndpointList;
import lemonrail.json.Json;

/** Items as the watch tells them: endpoints in the platform's form, documents, and what is gone. */
final class EntryCodec {

    /** The most characters of a settings document. */
    static final int MOST_DOCUMENT = 64 * 1024;

    private static final Pattern WORD = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    /** A node's name, and the mark of a word for an earlier time. */
    private static final Pattern ORIGIN = Pattern.compile("[A-Za-z0-9._-]{1,64}~?");

    private static final Set<String> FIELDS =
            Set.of("id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms", "service", "stamp");

    private EntryCodec() {}

    /** A name as services, endpoints and documents have it. */
    static String word(String field, Object value) {
        if (value instanceof String text && WORD.matcher(text).matches()) {
            return text;
        }
        throw EndpointList.bad(field, value);
    }

    /** What is said of an endpoint, checked and in the platform's form; all that is amiss names the field. */
    static String endpoint(String id, Map<?, ?> fields) {
        for (Object name : fields.keySet()) {
            if (!FIELDS.contains(name)) {
                throw new IllegalArgumentException("unknown field " + name + "; there may be " + FIELDS);
            }
        }
        return line(id, fields);
    }

    /** The same without a word on fields that are unknown here: a later version's node may tell more. */
    private static String line(String id, Map<?, ?> fields) {
        if (fields.get("id") != null && !id.equals(fields.get("id"))) {
            throw EndpointList.bad("id", fields.get("id"));
        }
        String state = fields.get("state") == null ? "in_service" : String.valueOf(fields.get("state"));
        if (!state.equals("in_service") && !state.equals("terminating")) {
            throw EndpointList.bad("state", state);
        }
        if (EndpointList.address("addr", fields.get("addr")).getPort() == 0) {
            throw EndpointList.bad("addr", fields.get("addr"));
        }
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("id", word("id", id));
        line.put("addr", fields.get("addr"));
        line.put("zone", fields.get("zone") == null ? "default" : word("zone", fields.get("zone")));
        line.put("kind", fields.get("kind") == null ? "default" : word("kind", fields.get("kind")));
        line.put("cell", (long) number(fields, "cell", 0, 1e9));
        line.put("state", state);
        line.put("weight", number(fields, "weight", 1, 1e6));
        line.put("started_ms", (long) number(fields, "started_ms", 0, 1e15));
        return Json.text(line);
    }

    private static double number(Map<?, ?> fields, String name, double absent, double most) {
        Object value = fields.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Double number && number >= 0 && number <= most) {
            return number;
        }
        throw EndpointList.bad(name, value);
    }

    /** The same endpoint in another state. */
    static String withState(VersionedEntry item, String state) {
        Map<String, Object> fields = new LinkedHashMap<>();
        object(item.body().getBytes(StandardCharsets.UTF_8))
                .forEach((name, value) -> fields.put(String.valueOf(name), value));
        fields.put("state", state);
        return endpoint(item.id(), fields);
    }

    /** The object that these bytes hold. */
    static Map<?, ?> object(byte[] json) {
        try {
            if (Json.value(json) instanceof Map<?, ?> fields) {
                return fields;
            }
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "it is no JSON: " + e.getMessage().lines().findFirst().orElse(""), e);
        }
        throw new IllegalArgumentException("it holds no JSON object");
    }

    /** A document, which may have so much text. */
    static String document(Object text) {
        if (text instanceof String document && document.length() <= MOST_DOCUMENT) {
            return document;
        }
        throw new IllegalArgumentException("a settings document is a text of " + MOST_DOCUMENT + " characters at most");
    }

    /** The fields {@code servers} and {@code settings} of an answer. */
    static String lists(List<VersionedEntry> items) {
        StringBuilder servers = new StringBuilder("\"servers\":[");
        StringBuilder settings = new StringBuilder("],\"settings\":[");
        for (VersionedEntry item : items) {
            StringBuilder to = item.isSettings() ? settings : servers;
            to.append(to.charAt(to.length() - 1) == '[' ? "" : ",");
            if (item.isSettings()) {
                Map<String, Object> line = new LinkedHashMap<>();
                line.put("name", item.id());
                line.put("stamp", item.timestamp().encode());
                line.put("gone", item.removed());
                line.put("text", item.body());
                to.append(Json.text(line));
            } else {
                String body = item.removed() ? "{\"id\":\"" + item.id() + "\",\"state\":\"terminated\"}" : item.body();
                to.append(body, 0, body.length() - 1)
                        .append(",\"service\":\"")
                        .append(item.topic())
                        .append("\",\"stamp\":\"")
                        .append(item.timestamp().encode())
                        .append("\"}");
            }
        }
        return servers.append(settings).append(']').toString();
    }

    /**
     * The items of an answer of another node, each checked like one of an operator. A bad one is left out and
     * told: it must not keep all others from coming.
     */
    static List<VersionedEntry> items(Map<?, ?> answer, Consumer<String> bad) {
        List<VersionedEntry> items = new ArrayList<>();
        for (Map<?, ?> line : lines(answer, "servers")) {
            try {
                String id = word("servers[].id", line.get("id"));
                boolean gone = "terminated".equals(line.get("state"));
                items.add(new VersionedEntry(
                        word("servers[].service", line.get("service")),
                        id,
                        stamp(line),
                        gone,
                        gone ? "" : line(id, line)));
            } catch (IllegalArgumentException e) {
                bad.accept(e.getMessage());
            }
        }
        for (Map<?, ?> line : lines(answer, "settings")) {
            try {
                String name = word("settings[].name", line.get("name"));
                boolean gone = Boolean.TRUE.equals(line.get("gone"));
                items.add(new VersionedEntry(
                        VersionedEntry.SETTINGS_TOPIC_PREFIX + name,
                        name,
                        stamp(line),
                        gone,
                        gone ? "" : document(line.get("text"))));
            } catch (IllegalArgumentException e) {
                bad.accept(e.getMessage());
            }
        }
        return items;
    }

    private static List<Map<?, ?>> lines(Map<?, ?> answer, String field) {
        List<Map<?, ?>> lines = new ArrayList<>();
        if (answer.get(field) instanceof List<?> list) {
            for (Object line : list) {
                if (!(line instanceof Map<?, ?> fields)) {
                    throw EndpointList.bad(field + "[]", line);
                }
                lines.add(fields);
            }
        }
        return lines;
    }

    private static HybridTimestamp stamp(Map<?, ?> line) {
        HybridTimestamp stamp = HybridTimestamp.parse(String.valueOf(line.get("stamp")));
        if (!ORIGIN.matcher(stamp.origin()).matches()) {
            throw EndpointList.bad("stamp", line.get("stamp"));
        }
        return stamp;
    }

    /** Up to where a node has heard all others. */
    static Map<String, HybridTimestamp> heard(Map<?, ?> answer) {
        Map<String, HybridTimestamp> heard = new LinkedHashMap<>();
        if (answer.get("heard") instanceof Map<?, ?> stamps) {
            stamps.forEach(
                    (node, stamp) -> heard.put(word("heard", node), HybridTimestamp.parse(String.valueOf(stamp))));
        }
        return heard;
    }
}
