package lemonrail.config;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The lines of the keys in a TOML file, which the parser does not tell, or not exactly. */
final class TomlLines {

    private static final Pattern HEADER = Pattern.compile("\\s*(\\[\\[?)\\s*([^\\[\\]]+?)\\s*]]?.*");
    private static final Pattern ENTRY = Pattern.compile("\\s*([A-Za-z0-9_.\" '-]+?)\\s*=(.*)");
    private static final String REPEATED_TABLE = "[[";

    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Integer> tableCounts = new HashMap<>();
    /** The path of the table that a line belongs to, with a dot at its end; empty above all tables. */
    private String tablePrefix = "";

    private String repeatedKey;
    private int repeatedKeyLine;

    TomlLines(String text) {
        ValueScanner value = new ValueScanner();
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            if (value.isOpen()) {
                value.scan(line);
            } else {
                readLine(line, number, value);
            }
        }
    }

    private void readLine(String line, int number, ValueScanner value) {
        Matcher header = HEADER.matcher(line);
        Matcher entry = ENTRY.matcher(line);
        if (header.matches()) {
            readHeader(header, number);
        } else if (entry.matches()) {
            readKey(tablePrefix + withoutQuotes(entry.group(1)), number);
            value.scan(entry.group(2));
        }
    }

    private void readHeader(Matcher header, int number) {
        String name = withoutQuotes(header.group(2));
        if (header.group(1).equals(REPEATED_TABLE)) {
            int index = tableCounts.merge(name, 1, Integer::sum) - 1;
            name += "[" + index + "]";
        }
        tablePrefix = name + ".";
        lines.putIfAbsent(name, number);
    }

    private void readKey(String path, int number) {
        boolean repeated = lines.putIfAbsent(path, number) != null;
        if (repeated && repeatedKey == null) {
            repeatedKey = path;
            repeatedKeyLine = number;
        }
    }

    private static String withoutQuotes(String key) {
        return key.replaceAll("[\"' ]", "");
    }

    /** Returns the path of the first key that the file has twice, or null. */
    String repeatedKey() {
        return repeatedKey;
    }

    /** Returns the line where the repeated key stands for the second time. */
    int repeatedKeyLine() {
        return repeatedKeyLine;
    }

    /** Returns the line of a key, or of the nearest table above it; 0 where the file has none of them. */
    int lineOf(String path) {
        String current = path;
        while (!current.isEmpty()) {
            Integer line = lines.getOrDefault(current, lines.get(current + "[0]"));
            if (line != null) {
                return line;
            }
            int end = Math.max(current.lastIndexOf('.'), current.lastIndexOf('['));
            current = end < 0 ? "" : current.substring(0, end);
        }
        return 0;
    }

    /** Finds out whether a value goes on in the next line: in brackets, or in a string of several lines. */
    private static final class ValueScanner {

        private static final int MULTILINE_QUOTES = 3;

        /** Open brackets. */
        private int depth;
        /** The quotes that end the open string; empty outside of strings. */
        private String quotes = "";

        boolean isOpen() {
            return depth > 0 || !quotes.isEmpty();
        }

        void scan(String text) {
            int position = 0;
            while (position < text.length()) {
                position = quotes.isEmpty() ? scanOutsideString(text, position) : scanString(text, position);
            }
        }

        /** Scans to the end of the open string; returns the position after it, or the text's end. */
        private int scanString(String text, int start) {
            int end = endOfString(text, start);
            if (end >= 0) {
                int next = end + quotes.length();
                quotes = "";
                return next;
            }
            if (quotes.length() < MULTILINE_QUOTES) {
                quotes = "";
            }
            return text.length();
        }

        private int endOfString(String text, int start) {
            int end = text.indexOf(quotes, start);
            boolean basicString = quotes.startsWith("\"");
            while (basicString && end > 0 && text.charAt(end - 1) == '\\') {
                end = text.indexOf(quotes, end + 1);
            }
            return end;
        }

        /** Scans one character or the beginning of a string; returns the position after it. */
        private int scanOutsideString(String text, int position) {
            char character = text.charAt(position);
            return switch (character) {
                case '#' -> text.length();
                case '"', '\'' -> {
                    String tripled = String.valueOf(character).repeat(MULTILINE_QUOTES);
                    quotes = text.startsWith(tripled, position) ? tripled : String.valueOf(character);
                    yield position + quotes.length();
                }
                case '[', '{' -> {
                    depth++;
                    yield position + 1;
                }
                case ']', '}' -> {
                    depth--;
                    yield position + 1;
                }
                default -> position + 1;
            };
        }
    }
}
