package lemonrail.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.json.InvalidFieldException;
import lemonrail.json.Json;

/** Reads endpoint lists in the JSON format of the platform's discovery and checks their fields. */
public final class EndpointListReader {

    /** The index of a zone or hardware kind that is missing in the entry or not configured. */
    private static final int UNKNOWN_INDEX = -1;

    private static final double DEFAULT_WEIGHT = 1;

    private EndpointListReader() {}

    /**
     * Parses an endpoint list.
     *
     * @throws IOException if the bytes are not a JSON object
     * @throws InvalidFieldException if a field is invalid
     */
    public static EndpointList parse(byte[] json, EndpointList.Names names) throws IOException {
        return read(parseObject(json), names);
    }

    /**
     * Parses the JSON object of an endpoint list without reading its fields.
     *
     * @throws IOException if the bytes are not a JSON object
     */
    static Map<?, ?> parseObject(byte[] json) throws IOException {
        if (Json.parse(json) instanceof Map<?, ?> fields) {
            return fields;
        }
        throw new IOException("endpoint list is not a JSON object");
    }

    /**
     * Reads an endpoint list from a parsed JSON object.
     *
     * @throws InvalidFieldException if a field is invalid
     */
    public static EndpointList read(Map<?, ?> list, EndpointList.Names names) {
        if (!(list.get("version") instanceof Double version)) {
            throw new InvalidFieldException("version", list.get("version"));
        }
        if (!(list.get("full") instanceof Boolean full)) {
            throw new InvalidFieldException("full", list.get("full"));
        }
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Map<?, ?> fields : readEndpointObjects(list)) {
            entries.add(readEntry(fields, names));
        }
        return new EndpointList(version.longValue(), full, entries);
    }

    /**
     * Returns the elements of the field {@code servers}.
     *
     * @throws InvalidFieldException if the field is missing or not an array of objects
     */
    static List<Map<?, ?>> readEndpointObjects(Map<?, ?> list) {
        if (!(list.get("servers") instanceof List<?> elements)) {
            throw new InvalidFieldException("servers", list.get("servers"));
        }
        List<Map<?, ?>> objects = new ArrayList<>();
        for (Object element : elements) {
            if (!(element instanceof Map<?, ?> fields)) {
                throw new InvalidFieldException("servers[]", element);
            }
            objects.add(fields);
        }
        return objects;
    }

    private static EndpointList.Entry readEntry(Map<?, ?> fields, EndpointList.Names names) {
        if (!(fields.get("id") instanceof String id)) {
            throw new InvalidFieldException("servers[].id", fields.get("id"));
        }
        EndpointState state = readState(fields.get("state"));
        // A removed endpoint needs only id and state.
        InetSocketAddress address =
                state == EndpointState.GONE ? null : SocketAddressReader.read("servers[].addr", fields.get("addr"));
        Endpoint endpoint = new Endpoint(
                id,
                indexOf(names.zones(), fields.get("zone")),
                indexOf(names.kinds(), fields.get("kind")),
                (int) readNumber(fields, "cell", 0),
                readNumber(fields, "started_ms", 0),
                state,
                readNumber(fields, "weight", DEFAULT_WEIGHT));
        return new EndpointList.Entry(endpoint, address);
    }

    private static EndpointState readState(Object value) {
        return switch (String.valueOf(value)) {
            case "in_service" -> EndpointState.READY;
            case "terminating" -> EndpointState.DRAINING;
            case "terminated" -> EndpointState.GONE;
            default -> throw new InvalidFieldException("servers[].state", value);
        };
    }

    private static int indexOf(List<String> names, Object name) {
        return name == null ? UNKNOWN_INDEX : names.indexOf(name);
    }

    private static double readNumber(Map<?, ?> fields, String name, double defaultValue) {
        Object value = fields.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new InvalidFieldException("servers[]." + name, value);
    }
}
