package lemonrail.discovery;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Builds the URI of a watch request, parameter by parameter. */
final class WatchUri {

    private static final String PATH = "/registry/instances";

    private final StringBuilder uri = new StringBuilder(PATH);
    private char separator = '?';

    /** Adds a parameter whose value contains only characters that are valid in a URI query. */
    WatchUri add(String name, String value) {
        uri.append(separator).append(name).append('=').append(value);
        separator = '&';
        return this;
    }

    WatchUri add(String name, long value) {
        return add(name, Long.toString(value));
    }

    /** Adds a parameter and percent-encodes its value. */
    WatchUri addEncoded(String name, String value) {
        return add(name, URLEncoder.encode(value, StandardCharsets.UTF_8));
    }

    String build() {
        return uri.toString();
    }
}
