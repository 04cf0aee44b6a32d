package lemonrail.control;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.discovery.SocketAddressReader;
import lemonrail.json.InvalidFieldException;
import lemonrail.json.Json;

/** Validates endpoints and encodes them in the JSON format of the platform's discovery, as bodies of entries. */
final class EndpointBody {

    static final String STATE_READY = "in_service";
    static final String STATE_DRAINING = "terminating";

    private static final String DEFAULT_NAME = "default";
    private static final double MAX_CELL = 1e9;
    private static final double MAX_WEIGHT = 1e6;
    private static final double MAX_STARTED_MS = 1e15;

    private static final Set<String> FIELDS =
            Set.of("id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms", "service", "stamp");

    private EndpointBody() {}

    /**
     * Encodes an endpoint of an operator's request.
     *
     * @throws IllegalArgumentException if a field is unknown or invalid; the message names the field
     */
    static String encode(String id, Map<?, ?> fields) {
        for (Object name : fields.keySet()) {
            if (!FIELDS.contains(name)) {
                throw new IllegalArgumentException("unknown field " + name + "; allowed fields: " + FIELDS);
            }
        }
        return encodeKnownFields(id, fields);
    }

    /** Encodes an endpoint from a peer. Unknown fields are ignored, because the peer may run a later version. */
    static String encodeKnownFields(String id, Map<?, ?> fields) {
        if (fields.get("id") != null && !id.equals(fields.get("id"))) {
            throw new InvalidFieldException("id", fields.get("id"));
        }
        String state = fields.get("state") == null ? STATE_READY : String.valueOf(fields.get("state"));
        if (!state.equals(STATE_READY) && !state.equals(STATE_DRAINING)) {
            throw new InvalidFieldException("state", state);
        }
        if (SocketAddressReader.read("addr", fields.get("addr")).getPort() == 0) {
            throw new InvalidFieldException("addr", fields.get("addr"));
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", EntryNames.require("id", id));
        body.put("addr", fields.get("addr"));
        body.put("zone", readName(fields, "zone"));
        body.put("kind", readName(fields, "kind"));
        body.put("cell", (long) readNumber(fields, "cell", 0, MAX_CELL));
        body.put("state", state);
        body.put("weight", readNumber(fields, "weight", 1, MAX_WEIGHT));
        body.put("started_ms", (long) readNumber(fields, "started_ms", 0, MAX_STARTED_MS));
        return Json.text(body);
    }

    private static String readName(Map<?, ?> fields, String field) {
        Object value = fields.get(field);
        return value == null ? DEFAULT_NAME : EntryNames.require(field, value);
    }

    private static double readNumber(Map<?, ?> fields, String field, double defaultValue, double max) {
        Object value = fields.get(field);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Double number && number >= 0 && number <= max) {
            return number;
        }
        throw new InvalidFieldException(field, value);
    }

    /** Returns the body of a stored endpoint with its state replaced. */
    static String withState(VersionedEntry entry, String state) {
        Map<String, Object> fields = new LinkedHashMap<>();
        EntryCodec.parseObject(entry.body().getBytes(StandardCharsets.UTF_8))
                .forEach((name, value) -> fields.put(String.valueOf(name), value));
        fields.put("state", state);
        return encode(entry.id(), fields);
    }
}
