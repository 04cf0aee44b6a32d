package lemonrail.http1;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.RequestClass;
import lemonrail.http1.RequestReader.Refusal;

/** What the head of a request says to the decision module, or why it says nothing that can be served. */
final class RequestHeadMapper {

    static final String DEADLINE = "X-Deadline-Ms";
    /** What stands for a class that the settings don't have. */
    static final int NO_CLASS = -1;

    private static final String ID = "X-Request-Id";
    private static final int MOST_DEADLINE_DIGITS = 9;
    /** What a request is told by, which must not be open to two readings. */
    private static final List<String> ONCE_ONLY = List.of(ID, DEADLINE, "X-Class", "X-Tenant", "Idempotency-Key");
    /** Headers that concern one connection only. */
    private static final List<CharSequence> HOP_BY_HOP = List.of(
            HttpHeaderNames.CONNECTION,
            HttpHeaderNames.PROXY_CONNECTION,
            "keep-alive",
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT);

    /** A request's own words; {@code waitMs} is how long its client waits, as its class allows. */
    record Told(String id, int requestClass, int tenant, double waitMs, boolean resent) {}

    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();
    private final Supplier<BalancerSettings> inForce;

    /** Reads heads by the names of these settings, and by the times of those that are in force. */
    RequestHeadMapper(BalancerSettings settings, Supplier<BalancerSettings> inForce) {
        this.inForce = inForce;
        List<RequestClass> kinds = settings.classes();
        for (int i = 0; i < kinds.size(); i++) {
            name(classes, kinds.get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            name(tenants, settings.tenants().get(i).name(), i);
        }
    }

    /** Headers are read a byte a character: a name outside ASCII comes in them as its bytes in UTF-8. */
    private static void name(Map<String, Integer> places, String name, int place) {
        places.put(name, place);
        places.put(new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1), place);
    }

    /** The class that a head names, known or not to be served otherwise. */
    int requestClass(HttpRequest head) {
        return classes.getOrDefault(head.headers().get("X-Class", ""), NO_CLASS);
    }

    /** Why this is no request that could be served, or null if it is one. */
    Refusal refusal(HttpRequest head) {
        HttpHeaders headers = head.headers();
        if (!head.method().equals(HttpMethod.GET) && !head.method().equals(HttpMethod.POST)) {
            return new Refusal(HttpResponseStatus.METHOD_NOT_ALLOWED, "only GET and POST are served");
        }
        String why = null;
        if (headers.get(ID, "").isEmpty()) {
            why = ID + " is missing";
        } else if (ONCE_ONLY.stream().anyMatch(name -> headers.getAll(name).size() > 1)) {
            why = "one of " + ONCE_ONLY + " is repeated";
        } else if (requestClass(head) == NO_CLASS) {
            why = "X-Class is missing or unknown";
        } else if (tenant(headers) == null) {
            why = "X-Tenant is missing or unknown";
        } else if (deadline(headers) < 0) {
            why = DEADLINE + " is no whole number";
        }
        return why == null ? null : new Refusal(HttpResponseStatus.BAD_REQUEST, why);
    }

    /** What a head says that {@link #refusal} has nothing against. */
    Told told(HttpRequest head) {
        HttpHeaders headers = head.headers();
        int kind = requestClass(head);
        // No client waits longer than its class may take, whatever it says.
        return new Told(
                headers.get(ID),
                kind,
                tenant(headers),
                Math.min(
                        (double) deadline(headers),
                        inForce.get().classes().get(kind).deadlineMs()),
                "1".equals(headers.get("X-Retry")));
    }

    /** What of a head is passed on. */
    static HttpHeaders endToEnd(HttpRequest head) {
        HttpHeaders headers = head.headers().copy();
        HOP_BY_HOP.forEach(headers::remove);
        return headers;
    }

    private Integer tenant(HttpHeaders headers) {
        return tenants.isEmpty() ? Integer.valueOf(0) : tenants.get(headers.get("X-Tenant", ""));
    }

    /** The milliseconds, or -1 for what is no whole number of a sane size. */
    private static long deadline(HttpHeaders headers) {
        String text = headers.get(DEADLINE, "");
        if (text.isEmpty()
                || text.length() > MOST_DEADLINE_DIGITS
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        return Long.parseLong(text);
    }
}
