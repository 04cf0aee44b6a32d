package lemonrail.config;

import com.fasterxml.jackson.databind.JsonNode;
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
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lemonrail.logging.EventLog;
import lemonrail.logging.Severity;

/**
 * A kind of value: how it is read and what is allowed.
 *
 * @param name in JSON Schema's words: string, integer, number, boolean, array or object
 * @param allowed what is allowed, to end the sentence "it must be"
 * @param read gives the value, or null for what is not allowed
 * @param <T> what it is read as
 */
public record ValueType<T>(String name, String allowed, Function<JsonNode, T> read) {

    private static final Pattern DURATION = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(ms|s|m|h)");
    private static final Map<String, Double> MS = Map.of("ms", 1.0, "s", 1000.0, "m", 60_000.0, "h", 3_600_000.0);
    private static final Pattern SIZE = Pattern.compile("(\\d{1,9})(B|KiB|MiB|GiB)");
    private static final Map<String, Long> BYTES = Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    /** Text of this pattern. */
    public static ValueType<String> text(String pattern, String allowed) {
        Pattern whole = Pattern.compile(pattern);
        return new ValueType<>(
                "string",
                allowed,
                node -> node.isTextual() && whole.matcher(node.textValue()).matches() ? node.textValue() : null);
    }

    /** A short name. */
    public static ValueType<String> word() {
        return text("[A-Za-z0-9._-]{1,64}", "1 to 64 letters, digits, '.', '_' or '-'");
    }

    /** True or false. */
    public static ValueType<Boolean> flag() {
        return new ValueType<>(
                "boolean",
                "true or false",
                node -> node.isBoolean()
                        ? (Boolean) node.booleanValue()
                        : (node.isTextual() && node.textValue().matches("true|false"))
                                ? Boolean.valueOf(node.textValue())
                                : null);
    }

    /** A whole number. */
    public static ValueType<Integer> whole(int least, int most) {
        return new ValueType<>("integer", "a whole number from " + least + " to " + most, node -> {
            JsonNode number = number(node);
            return number != null
                            && number.isIntegralNumber()
                            && number.canConvertToInt()
                            && number.intValue() >= least
                            && number.intValue() <= most
                    ? number.intValue()
                    : null;
        });
    }

    /** A number. */
    public static ValueType<Double> number(double least, double most) {
        return new ValueType<>("number", "a number from " + plain(least) + " to " + plain(most), node -> {
            JsonNode number = number(node);
            return number != null && number.doubleValue() >= least && number.doubleValue() <= most
                    ? number.doubleValue()
                    : null;
        });
    }

    /** A number as such, or as the text that an environment variable is. */
    private static JsonNode number(JsonNode node) {
        if (node instanceof Variable variable) {
            try {
                return variable.textValue().contains(".")
                        ? com.fasterxml.jackson.databind.node.DoubleNode.valueOf(
                                Double.parseDouble(variable.textValue()))
                        : com.fasterxml.jackson.databind.node.IntNode.valueOf(Integer.parseInt(variable.textValue()));
            } catch (NumberFormatException e) {
                return null;
            }
        }
        return node.isNumber() ? node : null;
    }

    /** Milliseconds. */
    public static ValueType<Double> duration(double leastMs, double mostMs) {
        return new ValueType<>(
                "string",
                "a time with its unit (ms, s, m or h), as in \"2.5s\", from " + time(leastMs) + " to " + time(mostMs),
                node -> {
                    Matcher parts = DURATION.matcher(node.isTextual() ? node.textValue() : "");
                    if (!parts.matches()) {
                        return null;
                    }
                    double ms = Double.parseDouble(parts.group(1)) * MS.get(parts.group(2));
                    return ms >= leastMs && ms <= mostMs ? ms : null;
                });
    }

    /** Bytes. */
    static ValueType<Long> size(long least, long most) {
        return new ValueType<>(
                "string",
                "a size with its unit (B, KiB, MiB or GiB), as in \"64KiB\", from " + (least >> 20) + "MiB to "
                        + (most >> 30) + "GiB",
                node -> {
                    Matcher parts = SIZE.matcher(node.isTextual() ? node.textValue() : "");
                    if (!parts.matches()) {
                        return null;
                    }
                    long bytes = Long.parseLong(parts.group(1)) * BYTES.get(parts.group(2));
                    return bytes >= least && bytes <= most ? bytes : null;
                });
    }

    /** An address of IP and port. */
    static ValueType<InetSocketAddress> address(int leastPort) {
        return new ValueType<>(
                "string",
                "an IP address and a port from " + leastPort + " to 65535, as in \"127.0.0.1:9000\"",
                node -> {
                    String text = node.isTextual() ? node.textValue() : "";
                    int colon = text.lastIndexOf(':');
                    byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
                    if (ip == null || !text.substring(colon + 1).matches("\\d{1,5}")) {
                        return null;
                    }
                    int port = Integer.parseInt(text.substring(colon + 1));
                    try {
                        return port < leastPort || port > 65_535
                                ? null
                                : new InetSocketAddress(InetAddress.getByAddress(ip), port);
                    } catch (UnknownHostException e) {
                        return null;
                    }
                });
    }

    /** A list of different addresses. */
    static ValueType<List<InetSocketAddress>> addresses(int most) {
        ValueType<InetSocketAddress> one = address(1);
        return new ValueType<>(
                "array", "a list of 1 to " + most + " different addresses, as in [\"127.0.0.1:9000\"]", node -> {
                    List<InetSocketAddress> all = new ArrayList<>();
                    for (JsonNode element : node) {
                        InetSocketAddress read = one.read().apply(element);
                        if (read == null || all.contains(read)) {
                            return null;
                        }
                        all.add(read);
                    }
                    return !node.isArray() || all.isEmpty() || all.size() > most ? null : all;
                });
    }

    /** One of these words, in the order of the constants. */
    public static <E extends Enum<E>> ValueType<E> choice(Class<E> type, String... words) {
        List<String> all = Arrays.asList(words);
        E[] values = type.getEnumConstants();
        return new ValueType<>("string", "one of \"" + String.join("\", \"", all) + "\"", node -> {
            int place = node.isTextual() ? all.indexOf(node.textValue()) : -1;
            return place < 0 ? null : values[place];
        });
    }

    /** A list of short names. */
    static ValueType<List<String>> words(int most) {
        return new ValueType<>("array", "a list of 1 to " + most + " different words, as in [\"a\", \"b\"]", node -> {
            List<String> words = new ArrayList<>();
            for (JsonNode element : node) {
                String read = word().read().apply(element);
                if (read == null || words.contains(read)) {
                    return null;
                }
                words.add(read);
            }
            return !node.isArray() || words.isEmpty() || words.size() > most ? null : words;
        });
    }

    static ValueType<Map<String, Severity>> levels() {
        return new ValueType<>(
                "object",
                "loggers and their levels, as in {\"lemonrail.http1\" = \"debug\"}; " + "a level is one of "
                        + levelNames(),
                node -> {
                    Map<String, Severity> levels = new LinkedHashMap<>();
                    for (Map.Entry<String, JsonNode> entry : node.properties()) {
                        Severity level = level(entry.getValue().asText());
                        if (level == null || !isLogger(entry.getKey())) {
                            return null;
                        }
                        levels.put(entry.getKey(), level);
                    }
                    return node.isObject() ? levels : null;
                });
    }

    private static boolean isLogger(String name) {
        return name.equals(EventLog.ROOT) || name.startsWith(EventLog.ROOT + ".");
    }

    private static Severity level(String text) {
        for (Severity severity : Severity.values()) {
            if (severity.name().toLowerCase(Locale.ROOT).equals(text)) {
                return severity;
            }
        }
        return null;
    }

    private static String levelNames() {
        return Arrays.toString(Severity.values()).toLowerCase(Locale.ROOT);
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }

    private static String time(double ms) {
        return ms >= 3_600_000 ? plain(ms / 3_600_000) + "h" : ms >= 1000 ? plain(ms / 1000) + "s" : plain(ms) + "ms";
    }

    /** The text of an environment variable, in which numbers are text as well. */
    static final class Variable extends TextNode {
        private static final long serialVersionUID = 1;

        Variable(String text) {
            super(text);
        }
    }
}
