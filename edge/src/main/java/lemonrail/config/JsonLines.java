package lemonrail.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Finds the lines of values in JSON; read again only where something is wrong. */
final class JsonLines {

    private JsonLines() {}

    /**
     * The line of the first field of this path, or of the nearest field above it that is there; 0 if none is.
     * {@code servers[].id} stands for the field of any element.
     */
    static int line(byte[] json, String path) {
        String best = "";
        int line = 0;
        try (JsonParser in = new JsonFactory().createParser(json)) {
            while (in.nextToken() != null) {
                if (in.currentToken() != JsonToken.FIELD_NAME) {
                    continue;
                }
                String here = in.getParsingContext()
                        .pathAsPointer()
                        .toString()
                        .substring(1)
                        .replaceAll("/\\d+", "[]")
                        .replace('/', '.');
                // What is said of a list's line may stand in the list that is known at the start.
                String known = here.startsWith("known.") ? here.substring("known.".length()) : here;
                boolean above = path.equals(known) || path.startsWith(known + ".");
                if (above && known.length() > best.length()) {
                    best = known;
                    line = in.currentTokenLocation().getLineNr();
                }
            }
        } catch (IOException e) {
            // It was readable a moment ago, and a line is only a help.
            return line;
        }
        return line;
    }
}
