package lemonrail.discovery;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.json.Json;

/** A list of endpoints, or changes to one, in discovery's form. */
public record EndpointList(long version, boolean full, List<Entry> entries) {

    /** An endpoint and where it listens, as this sidecar sees it. */
    public record Entry(Endpoint server, InetSocketAddress address) {}

    /** The names of the zones and kinds, whose places in the settings stand for them. */
    public record Names(List<String> zones, List<String> kinds) {}

    /** The endpoints alone. */
    public List<Endpoint> servers() {
        return entries.stream().map(Entry::server).toList();
    }

    /** A list in discovery's form; what is bad is an exception that names the field. */
    public static EndpointList parse(byte[] json, Names names) throws IOException {
        if (!(Json.value(json) instanceof Map<?, ?> list)) {
            throw new IOException("the list of endpoints is no object");
        }
        return of(list, names);
    }

    /** A list from its values. */
    public static EndpointList of(Map<?, ?> list, Names names) {
        if (!(list.get("version") instanceof Double version)) {
            throw bad("version", list.get("version"));
        }
        if (!(list.get("full") instanceof Boolean full)) {
            throw bad("full", list.get("full"));
        }
        if (!(list.get("servers") instanceof List<?> lines)) {
            throw bad("servers", list.get("servers"));
        }
        List<Entry> entries = new ArrayList<>();
        for (Object line : lines) {
            if (!(line instanceof Map<?, ?> fields)) {
                throw bad("servers[]", line);
            }
            entries.add(entry(fields, names));
        }
        return new EndpointList(version.longValue(), full, entries);
    }

    private static Entry entry(Map<?, ?> fields, Names names) {
        if (!(fields.get("id") instanceof String id)) {
            throw bad("servers[].id", fields.get("id"));
        }
        EndpointState state = switch (String.valueOf(fields.get("state"))) {
            case "in_service" -> EndpointState.READY;
            case "terminating" -> EndpointState.DRAINING;
            case "terminated" -> EndpointState.GONE;
            default -> throw bad("servers[].state", fields.get("state"));
        };
        // Of an endpoint that is gone nothing but its id need be told.
        InetSocketAddress address = state == EndpointState.GONE ? null : address("servers[].addr", fields.get("addr"));
        return new Entry(
                new Endpoint(
                        id,
                        place(names.zones(), fields.get("zone")),
                        place(names.kinds(), fields.get("kind")),
                        (int) number(fields, "cell", 0),
                        number(fields, "started_ms", 0),
                        state,
                        number(fields, "weight", 1)),
                address);
    }

    /** The place of a name, below 0 where it is unknown or not told. */
    private static int place(List<String> names, Object name) {
        return name == null ? -1 : names.indexOf(name);
    }

    private static double number(Map<?, ?> fields, String name, double absent) {
        Object value = fields.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw bad("servers[]." + name, value);
    }

    /** Reads {@code 10.0.0.4:9000}; names would need DNS, of which there is none. */
    public static InetSocketAddress address(String field, Object value) {
        if (value instanceof String text) {
            int colon = text.lastIndexOf(':');
            byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
            if (ip != null) {
                try {
                    int port = Integer.parseInt(text.substring(colon + 1));
                    return new InetSocketAddress(InetAddress.getByAddress(ip), port);
                } catch (UnknownHostException | IllegalArgumentException e) {
                    throw bad(field, value);
                }
            }
        }
        throw bad(field, value);
    }

    /** Says that this field holds no value that could be used. */
    public static IllegalArgumentException bad(String field, Object value) {
        return new BadField(field, value);
    }

    /** A field that is missing or cannot be used. */
    public static final class BadField extends IllegalArgumentException {

        private static final long serialVersionUID = 1;

        private final String field;
        private final String value;

        BadField(String field, Object value) {
            super("field " + field + (value == null ? " is missing" : " is not usable: " + value));
            this.field = field;
            this.value = value == null ? null : String.valueOf(value);
        }

        /** The field's path. */
        public String field() {
            return field;
        }

        /** What it holds, or null where it is missing. */
        public String value() {
            return value;
        }
    }
}
