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
import lemonrail.http1.ClientMessage.RequestError;

/**
 * Maps the heads of client requests to the fields that the load balancer needs, and to the headers that are forwarded.
 */
final class RequestHeadMapper {

    static final String DEADLINE_HEADER = "X-Deadline-Ms";
    /** The class index of requests whose class is missing or not in the settings. */
    static final int UNKNOWN_CLASS = -1;

    private static final String ID_HEADER = "X-Request-Id";
    private static final String CLASS_HEADER = "X-Class";
    private static final String TENANT_HEADER = "X-Tenant";
    private static final String RETRY_HEADER = "X-Retry";
    private static final int MAX_DEADLINE_DIGITS = 9;
    private static final long MALFORMED_DEADLINE = -1;
    /** Headers that must not be repeated, because the request would be ambiguous. */
    private static final List<String> UNIQUE_HEADERS =
            List.of(ID_HEADER, DEADLINE_HEADER, CLASS_HEADER, TENANT_HEADER, "Idempotency-Key");
    /** Headers that concern one connection only (RFC 9110, section 7.6.1). */
    private static final List<CharSequence> HOP_BY_HOP_HEADERS = List.of(
            HttpHeaderNames.CONNECTION,
            HttpHeaderNames.PROXY_CONNECTION,
            "keep-alive",
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT);

    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> tenantIndexes = new HashMap<>();
    private final Supplier<BalancerSettings> currentSettings;

    /**
     * Creates a mapper.
     *
     * @param settings the settings with the names of classes and tenants, which do not change
     * @param currentSettings returns the current settings, in which the deadlines of classes may have changed
     */
    RequestHeadMapper(BalancerSettings settings, Supplier<BalancerSettings> currentSettings) {
        this.currentSettings = currentSettings;
        List<RequestClass> classes = settings.classes();
        for (int i = 0; i < classes.size(); i++) {
            addName(classIndexes, classes.get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            addName(tenantIndexes, settings.tenants().get(i).name(), i);
        }
    }

    /**
     * Adds a name and its form in decoded headers: these have one character per byte, so a non-ASCII name appears as
     * its UTF-8 bytes.
     */
    private static void addName(Map<String, Integer> indexes, String name, int index) {
        indexes.put(name, index);
        indexes.put(new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1), index);
    }

    /** Returns the index of the class in a request's head, or {@link #UNKNOWN_CLASS}. */
    int requestClass(HttpRequest head) {
        return classIndexes.getOrDefault(head.headers().get(CLASS_HEADER, ""), UNKNOWN_CLASS);
    }

    /** Returns the fields of a head, or the error to respond with if the head is invalid. */
    MappedHead map(HttpRequest head) {
        if (!head.method().equals(HttpMethod.GET) && !head.method().equals(HttpMethod.POST)) {
            return new RequestError(HttpResponseStatus.METHOD_NOT_ALLOWED, "only GET and POST are served");
        }
        HttpHeaders headers = head.headers();
        if (headers.get(ID_HEADER, "").isEmpty()) {
            return badRequest(ID_HEADER + " is missing");
        }
        if (UNIQUE_HEADERS.stream().anyMatch(name -> headers.getAll(name).size() > 1)) {
            return badRequest("one of " + UNIQUE_HEADERS + " is repeated");
        }
        int requestClass = requestClass(head);
        if (requestClass == UNKNOWN_CLASS) {
            return badRequest(CLASS_HEADER + " is missing or unknown");
        }
        Integer tenant = tenant(headers);
        if (tenant == null) {
            return badRequest(TENANT_HEADER + " is missing or unknown");
        }
        long deadlineMs = deadlineMs(headers);
        if (deadlineMs == MALFORMED_DEADLINE) {
            return badRequest(DEADLINE_HEADER + " is no whole number");
        }
        double clientTimeoutMs = Math.min((double) deadlineMs, maxClientTimeoutMs(requestClass));
        return new RequestHead(headers.get(ID_HEADER), requestClass, tenant, clientTimeoutMs, isRetried(headers));
    }

    private static RequestError badRequest(String reason) {
        return new RequestError(HttpResponseStatus.BAD_REQUEST, reason);
    }

    private double maxClientTimeoutMs(int requestClass) {
        return currentSettings.get().classes().get(requestClass).deadlineMs();
    }

    private static boolean isRetried(HttpHeaders headers) {
        return "1".equals(headers.get(RETRY_HEADER));
    }

    /** Returns the headers that are forwarded to the endpoint. */
    static HttpHeaders endToEndHeaders(HttpRequest head) {
        HttpHeaders headers = head.headers().copy();
        HOP_BY_HOP_HEADERS.forEach(headers::remove);
        return headers;
    }

    private Integer tenant(HttpHeaders headers) {
        return tenantIndexes.isEmpty() ? Integer.valueOf(0) : tenantIndexes.get(headers.get(TENANT_HEADER, ""));
    }

    private static long deadlineMs(HttpHeaders headers) {
        String text = headers.get(DEADLINE_HEADER, "");
        if (text.isEmpty()
                || text.length() > MAX_DEADLINE_DIGITS
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return MALFORMED_DEADLINE;
        }
        return Long.parseLong(text);
    }
}
