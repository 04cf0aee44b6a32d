package lemonrail.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Finds the lines of fields in JSON; the text is parsed again, only to describe a problem. */
final class JsonLines {

    private static final String KNOWN_PREFIX = "known.";

    private JsonLines() {}

    /**
     * Returns the line of the first field of a path, or of its nearest parent that is there; 0 if none is.
     *
     * @param path as in {@code servers[].id}, which means this field of any element
     */
    static int lineOf(byte[] json, String path) {
        String nearest = "";
        int line = 0;
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            while (parser.nextToken() != null) {
                if (parser.currentToken() != JsonToken.FIELD_NAME) {
                    continue;
                }
                String current = withoutPrefix(pathOf(parser));
                boolean isParent = path.equals(current) || path.startsWith(current + ".");
                if (isParent && current.length() > nearest.length()) {
                    nearest = current;
                    line = parser.currentTokenLocation().getLineNr();
                }
            }
        } catch (IOException e) {
            // The line is only a help; the text was readable when the problem was found.
            return line;
        }
        return line;
    }

    private static String pathOf(JsonParser parser) {
        String pointer = parser.getParsingContext().pathAsPointer().toString();
        return pointer.substring(1).replaceAll("/\\d+", "[]").replace('/', '.');
    }

    /** A problem of an endpoint list may stand in the list that is known at the start. */
    private static String withoutPrefix(String path) {
        return path.startsWith(KNOWN_PREFIX) ? path.substring(KNOWN_PREFIX.length()) : path;
    }
}
