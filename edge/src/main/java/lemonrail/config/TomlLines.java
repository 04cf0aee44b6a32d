package lemonrail.config;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The lines of the keys in a TOML file; the library does not tell them, or the next one. */
final class TomlLines {

    private static final Pattern HEADER = Pattern.compile("\\s*(\\[\\[?)\\s*([^\\[\\]]+?)\\s*]]?.*");
    private static final Pattern ENTRY = Pattern.compile("\\s*([A-Za-z0-9_.\" '-]+?)\\s*=(.*)");

    private final Map<String, Integer> lines = new HashMap<>();
    /** What is open at the end of a line: brackets, and the quotes of a text of several lines. */
    private int depth;

    private String quotes = "";
    private String repeated;
    private int repeatedLine;

    TomlLines(String text) {
        Map<String, Integer> places = new HashMap<>();
        String table = "";
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            if (depth > 0 || !quotes.isEmpty()) {
                skip(line);
                continue;
            }
            Matcher header = HEADER.matcher(line);
            Matcher entry = ENTRY.matcher(line);
            if (header.matches()) {
                String name = plain(header.group(2));
                if (header.group(1).length() == 2) {
                    name += "[" + (places.merge(name, 1, Integer::sum) - 1) + "]";
                }
                table = name + ".";
                lines.putIfAbsent(name, number);
            } else if (entry.matches()) {
                String path = table + plain(entry.group(1));
                if (lines.putIfAbsent(path, number) != null && repeated == null) {
                    repeated = path;
                    repeatedLine = number;
                }
                skip(entry.group(2));
            }
        }
    }

    private static String plain(String key) {
        return key.replaceAll("[\"' ]", "");
    }

    /** Goes over a value, to learn whether it goes on in the next line. */
    private void skip(String value) {
        int i = 0;
        while (i < value.length()) {
            if (!quotes.isEmpty()) {
                int end = value.indexOf(quotes, i);
                if (quotes.startsWith("\"")) {
                    while (end > 0 && value.charAt(end - 1) == '\\') {
                        end = value.indexOf(quotes, end + 1);
                    }
                }
                if (end < 0) {
                    quotes = quotes.length() == 1 ? "" : quotes;
                    return;
                }
                i = end + quotes.length();
                quotes = "";
                continue;
            }
            char c = value.charAt(i);
            if (c == '#') {
                return;
            }
            if (c == '"' || c == '\'') {
                String three = String.valueOf(c).repeat(3);
                quotes = value.startsWith(three, i) ? three : String.valueOf(c);
                i += quotes.length();
                continue;
            }
            depth += c == '[' || c == '{' ? 1 : c == ']' || c == '}' ? -1 : 0;
            i++;
        }
    }

    /** The first key that is there twice, or null. */
    String repeated() {
        return repeated;
    }

    int repeatedLine() {
        return repeatedLine;
    }

    /** The line of a key, or of the nearest table above it; 0 where nothing of it is in the file. */
    int of(String path) {
        for (String at = path; !at.isEmpty(); ) {
            Integer line = lines.getOrDefault(at, lines.get(at + "[0]"));
            if (line != null) {
                return line;
            }
            int cut = Math.max(at.lastIndexOf('.'), at.lastIndexOf('['));
            at = cut < 0 ? "" : at.substring(0, cut);
        }
        return 0;
    }
}
