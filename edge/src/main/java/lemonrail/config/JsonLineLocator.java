package lemonrail.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Finds the lines of fields in JSON. It parses the text a second time, which happens only to describe a problem. */
final class JsonLineLocator {

    private static final String INITIAL_LIST_PREFIX = "known.";

    private JsonLineLocator() {}

    /**
     * Returns the line of the first field with this path, or of its nearest parent that exists; 0 if there is none.
     *
     * @param path for example {@code servers[].id}, which matches this field of any element
     */
    static int lineOf(byte[] json, String path) {
        String nearestPath = "";
        int line = 0;
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            while (parser.nextToken() != null) {
                if (parser.currentToken() != JsonToken.FIELD_NAME) {
                    continue;
                }
                String current = removeListPrefix(pathOf(parser));
                boolean isPathOrParent = path.equals(current) || path.startsWith(current + ".");
                if (isPathOrParent && current.length() > nearestPath.length()) {
                    nearestPath = current;
                    line = parser.currentTokenLocation().getLineNr();
                }
            }
        } catch (IOException e) {
            // The line is optional information, and the text was parsed before without this exception.
            return line;
        }
        return line;
    }

    private static String pathOf(JsonParser parser) {
        String pointer = parser.getParsingContext().pathAsPointer().toString();
        return pointer.substring(1).replaceAll("/\\d+", "[]").replace('/', '.');
    }

    /** Removes the prefix of the initial endpoint list, because its problems are reported without it. */
    private static String removeListPrefix(String path) {
        return path.startsWith(INITIAL_LIST_PREFIX) ? path.substring(INITIAL_LIST_PREFIX.length()) : path;
    }
}
