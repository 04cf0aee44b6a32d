package lemonrail.config;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Indexes the line numbers of the keys in a TOML file, which the parser does not provide or only inexactly. */
final class TomlLineIndex {

    private static final Pattern HEADER = Pattern.compile("\\s*(\\[\\[?)\\s*([^\\[\\]]+?)\\s*]]?.*");
    private static final Pattern ENTRY = Pattern.compile("\\s*([A-Za-z0-9_.\" '-]+?)\\s*=(.*)");
    private static final String REPEATED_TABLE = "[[";

    private final Map<String, Integer> linesByPath = new HashMap<>();
    private final Map<String, Integer> tableCounts = new HashMap<>();
    /** The path of the table that the current line belongs to, with a trailing dot; empty before the first table. */
    private String tablePrefix = "";

    private String repeatedKey;
    private int repeatedKeyLine;

    TomlLineIndex(String text) {
        ValueScanner value = new ValueScanner();
        int lineNumber = 0;
        for (String line : text.split("\n", -1)) {
            lineNumber++;
            if (value.isOpen()) {
                value.scan(line);
            } else {
                readLine(line, lineNumber, value);
            }
        }
    }

    private void readLine(String line, int lineNumber, ValueScanner value) {
        Matcher header = HEADER.matcher(line);
        Matcher entry = ENTRY.matcher(line);
        if (header.matches()) {
            readHeader(header, lineNumber);
        } else if (entry.matches()) {
            readKey(tablePrefix + withoutQuotes(entry.group(1)), lineNumber);
            value.scan(entry.group(2));
        }
    }

    private void readHeader(Matcher header, int lineNumber) {
        String name = withoutQuotes(header.group(2));
        if (header.group(1).equals(REPEATED_TABLE)) {
            int index = tableCounts.merge(name, 1, Integer::sum) - 1;
            name += "[" + index + "]";
        }
        tablePrefix = name + ".";
        linesByPath.putIfAbsent(name, lineNumber);
    }

    private void readKey(String path, int lineNumber) {
        boolean repeated = linesByPath.putIfAbsent(path, lineNumber) != null;
        if (repeated && repeatedKey == null) {
            repeatedKey = path;
            repeatedKeyLine = lineNumber;
        }
    }

    private static String withoutQuotes(String key) {
        return key.replaceAll("[\"' ]", "");
    }

    /** Returns the path of the first key that the file defines twice, or null. */
    String repeatedKey() {
        return repeatedKey;
    }

    /** Returns the line of the second definition of the repeated key. */
    int repeatedKeyLine() {
        return repeatedKeyLine;
    }

    /** Returns the line of a key, or of its nearest enclosing table; 0 if the file contains neither. */
    int lineOf(String path) {
        String current = path;
        while (!current.isEmpty()) {
            Integer line = linesByPath.getOrDefault(current, linesByPath.get(current + "[0]"));
            if (line != null) {
                return line;
            }
            int end = Math.max(current.lastIndexOf('.'), current.lastIndexOf('['));
            current = end < 0 ? "" : current.substring(0, end);
        }
        return 0;
    }

    /** Determines whether a value continues on the next line, because a bracket or a multi-line string is open. */
    private static final class ValueScanner {

        private static final int MULTILINE_QUOTES = 3;

        /** Number of open brackets. */
        private int bracketDepth;
        /** The quotes that close the open string; empty outside of strings. */
        private String quotes = "";

        boolean isOpen() {
            return bracketDepth > 0 || !quotes.isEmpty();
        }

        void scan(String text) {
            int position = 0;
            while (position < text.length()) {
                position = quotes.isEmpty() ? scanOutsideString(text, position) : scanString(text, position);
            }
        }

        /** Scans to the end of the open string; returns the position after it, or the length of the text. */
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

        /** Scans one character or the opening quotes of a string; returns the position after it. */
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
                    bracketDepth++;
                    yield position + 1;
                }
                case ']', '}' -> {
                    bracketDepth--;
                    yield position + 1;
                }
                default -> position + 1;
            };
        }
    }
}
