package lemonrail.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lemonrail.logging.EventLog;
import lemonrail.logging.Severity;

/**
 * The type of a configuration value: how it is parsed and which values are allowed.
 *
 * @param name the type in JSON Schema: string, integer, number, boolean, array or object
 * @param allowed the allowed values, as a phrase that follows "must be"
 * @param parser returns the parsed value, or empty if the value is not allowed
 * @param <T> the type of the parsed value
 */
public record ValueType<T>(String name, String allowed, Function<JsonNode, Optional<T>> parser) {

    private static final String STRING = "string";
    private static final String ARRAY = "array";
    private static final int MAX_PORT = 65_535;
    private static final Pattern PORT = Pattern.compile("\\d{1,5}");
    private static final Pattern BOOLEAN = Pattern.compile("true|false");
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(ms|s|m|h)");
    private static final double MS_PER_SECOND = 1000;
    private static final double MS_PER_HOUR = 3_600_000;
    private static final Map<String, Double> MS_BY_UNIT =
            Map.of("ms", 1.0, "s", MS_PER_SECOND, "m", 60_000.0, "h", MS_PER_HOUR);
    private static final Pattern SIZE = Pattern.compile("(\\d{1,9})(B|KiB|MiB|GiB)");
    private static final int MIB_SHIFT = 20;
    private static final int GIB_SHIFT = 30;
    private static final Map<String, Long> BYTES_BY_UNIT =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << MIB_SHIFT, "GiB", 1L << GIB_SHIFT);

    /** Returns the parsed value, or empty if it is not allowed. */
    public Optional<T> parse(JsonNode node) {
        return parser.apply(node);
    }

    /** Returns the type of strings that match a pattern completely. */
    public static ValueType<String> text(String pattern, String allowed) {
        Pattern compiled = Pattern.compile(pattern);
        return new ValueType<>(
                STRING,
                allowed,
                node -> string(node).filter(text -> compiled.matcher(text).matches()));
    }

    /** Returns the type of identifiers: 1 to 64 letters, digits, dots, underscores and hyphens. */
    public static ValueType<String> word() {
        return text("[A-Za-z0-9._-]{1,64}", "1 to 64 letters, digits, '.', '_' or '-'");
    }

    /** Returns the type of booleans. */
    public static ValueType<Boolean> flag() {
        return new ValueType<>("boolean", "true or false", node -> {
            if (node.isBoolean()) {
                return Optional.of(node.booleanValue());
            }
            return string(node).filter(text -> BOOLEAN.matcher(text).matches()).map(Boolean::valueOf);
        });
    }

    /** Returns the type of integers from {@code min} to {@code max}, inclusive. */
    public static ValueType<Integer> whole(int min, int max) {
        return new ValueType<>(
                "integer",
                "a whole number from " + min + " to " + max,
                node -> numeric(node)
                        .filter(number -> number.isIntegralNumber() && number.canConvertToInt())
                        .map(JsonNode::intValue)
                        .filter(value -> value >= min && value <= max));
    }

    /** Returns the type of numbers from {@code min} to {@code max}, inclusive. */
    public static ValueType<Double> number(double min, double max) {
        return new ValueType<>(
                "number",
                "a number from " + formatNumber(min) + " to " + formatNumber(max),
                node -> numeric(node).map(JsonNode::doubleValue).filter(value -> value >= min && value <= max));
    }

    /** Returns the type of durations with a unit, parsed to milliseconds; both bounds are inclusive. */
    public static ValueType<Double> duration(double minMs, double maxMs) {
        String allowed = "a time with its unit (ms, s, m or h), as in \"2.5s\", from " + formatDuration(minMs) + " to "
                + formatDuration(maxMs);
        return new ValueType<>(
                STRING,
                allowed,
                node -> string(node)
                        .map(DURATION::matcher)
                        .filter(Matcher::matches)
                        .map(parts -> Double.parseDouble(parts.group(1)) * MS_BY_UNIT.get(parts.group(2)))
                        .filter(ms -> ms >= minMs && ms <= maxMs));
    }

    /** Returns the type of sizes with a unit, parsed to bytes; both bounds are inclusive. */
    static ValueType<Long> size(long minBytes, long maxBytes) {
        String allowed = "a size with its unit (B, KiB, MiB or GiB), as in \"64KiB\", from " + (minBytes >> MIB_SHIFT)
                + "MiB to " + (maxBytes >> GIB_SHIFT) + "GiB";
        return new ValueType<>(
                STRING,
                allowed,
                node -> string(node)
                        .map(SIZE::matcher)
                        .filter(Matcher::matches)
                        .map(parts -> Long.parseLong(parts.group(1)) * BYTES_BY_UNIT.get(parts.group(2)))
                        .filter(bytes -> bytes >= minBytes && bytes <= maxBytes));
    }

    /** Returns the type of addresses: an IP address and a port of at least {@code minPort}. */
    static ValueType<InetSocketAddress> address(int minPort) {
        String allowed = "an IP address and a port from " + minPort + " to " + MAX_PORT + ", as in \"127.0.0.1:9000\"";
        return new ValueType<>(STRING, allowed, node -> string(node).flatMap(text -> parseAddress(text, minPort)));
    }

    private static Optional<InetSocketAddress> parseAddress(String text, int minPort) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        String digits = text.substring(colon + 1);
        if (ip == null || !PORT.matcher(digits).matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(digits);
        if (port < minPort || port > MAX_PORT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByAddress(ip), port));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    /** Returns the type of lists of 1 to {@code max} different addresses. */
    static ValueType<List<InetSocketAddress>> addresses(int max) {
        return new ValueType<>(
                ARRAY,
                "a list of 1 to " + max + " different addresses, as in [\"127.0.0.1:9000\"]",
                node -> distinct(node, address(1), max));
    }

    /** Returns the type of lists of 1 to {@code max} different identifiers. */
    static ValueType<List<String>> identifiers(int max) {
        return new ValueType<>(
                ARRAY,
                "a list of 1 to " + max + " different names, as in [\"a\", \"b\"]",
                node -> distinct(node, word(), max));
    }

    private static <E> Optional<List<E>> distinct(JsonNode node, ValueType<E> elementType, int max) {
        if (!node.isArray() || node.isEmpty() || node.size() > max) {
            return Optional.empty();
        }
        List<E> elements = new ArrayList<>();
        for (JsonNode child : node) {
            Optional<E> element = elementType.parse(child);
            if (element.isEmpty() || elements.contains(element.get())) {
                return Optional.empty();
            }
            elements.add(element.get());
        }
        return Optional.of(elements);
    }

    /** Returns the type of an enum; {@code names} are the allowed values, in the order of the enum's constants. */
    public static <E extends Enum<E>> ValueType<E> choice(Class<E> type, String... names) {
        List<String> allNames = Arrays.asList(names);
        E[] constants = type.getEnumConstants();
        return new ValueType<>(
                STRING,
                "one of \"" + String.join("\", \"", allNames) + "\"",
                node -> string(node).filter(allNames::contains).map(text -> constants[allNames.indexOf(text)]));
    }

    /** Returns the type of tables that map loggers to their levels. */
    static ValueType<Map<String, Severity>> levels() {
        String allowed = "loggers and their levels, as in {\"lemonrail.http1\" = \"debug\"}; a level is one of "
                + Arrays.toString(Severity.values()).toLowerCase(Locale.ROOT);
        return new ValueType<>("object", allowed, ValueType::parseLevels);
    }

    private static Optional<Map<String, Severity>> parseLevels(JsonNode node) {
        if (!node.isObject()) {
            return Optional.empty();
        }
        Map<String, Severity> levels = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> entry : node.properties()) {
            Optional<Severity> level = parseLevel(entry.getValue().asText());
            if (level.isEmpty() || !isLogger(entry.getKey())) {
                return Optional.empty();
            }
            levels.put(entry.getKey(), level.get());
        }
        return Optional.of(levels);
    }

    private static boolean isLogger(String name) {
        return name.equals(EventLog.ROOT) || name.startsWith(EventLog.ROOT + ".");
    }

    private static Optional<Severity> parseLevel(String text) {
        return Arrays.stream(Severity.values())
                .filter(severity -> severity.name().toLowerCase(Locale.ROOT).equals(text))
                .findFirst();
    }

    private static Optional<String> string(JsonNode node) {
        return node.isTextual() ? Optional.of(node.textValue()) : Optional.empty();
    }

    /** Returns a number unchanged, and the number that the text of an environment variable stands for. */
    private static Optional<JsonNode> numeric(JsonNode node) {
        if (!(node instanceof Variable variable)) {
            return node.isNumber() ? Optional.of(node) : Optional.empty();
        }
        String text = variable.textValue();
        try {
            return Optional.of(
                    text.contains(".")
                            ? DoubleNode.valueOf(Double.parseDouble(text))
                            : IntNode.valueOf(Integer.parseInt(text)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }

    private static String formatDuration(double ms) {
        if (ms >= MS_PER_HOUR) {
            return formatNumber(ms / MS_PER_HOUR) + "h";
        }
        return ms >= MS_PER_SECOND ? formatNumber(ms / MS_PER_SECOND) + "s" : formatNumber(ms) + "ms";
    }

    /** The text of an environment variable, which may also represent a number. */
    static final class Variable extends TextNode {
        private static final long serialVersionUID = 1;

        Variable(String text) {
            super(text);
        }
    }
}
