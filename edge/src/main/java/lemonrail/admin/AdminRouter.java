package lemonrail.admin;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lemonrail.logging.Severity;

/** Which call is which: from method and path to what is answered. It keeps no state of its own. */
final class AdminRouter {

    private static final String ENDPOINTS = "/v1/endpoints/";
    private static final Pattern LOGGER =
            Pattern.compile("/v1/loggers/(lemonrail(?:\\.[a-z0-9]{1,32})?)/(debug|info|warn|error)");

    private record Route(HttpMethod method, Supplier<AdminResponse> call) {}

    private final AdminOperations operations;
    private final Map<String, Route> fixed;
    private final Map<String, Function<String, AdminResponse>> ofEndpoint;

    AdminRouter(AdminOperations operations) {
        this.operations = operations;
        fixed = Map.of(
                "/v1/readyz", new Route(HttpMethod.GET, this::ready),
                "/v1/metrics",
                        new Route(
                                HttpMethod.GET,
                                () -> new AdminResponse(HttpResponseStatus.OK, operations.figures(), null)),
                "/v1/loggers",
                        new Route(
                                HttpMethod.GET,
                                () -> new AdminResponse(HttpResponseStatus.OK, operations.levels(), null)),
                "/v1/sidecar/drain", new Route(HttpMethod.PUT, () -> done("draining", operations::drain)),
                "/v1/sidecar/activate", new Route(HttpMethod.PUT, () -> done("active", operations::activate)));
        ofEndpoint = Map.of(
                "/suspend", id -> answer("suspended", operations.suspend(id)),
                "/resume", id -> answer("resumed", operations.resume(id)));
    }

    /** Carries a call out. */
    AdminResponse route(HttpMethod method, String uri) {
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        Matcher logger = LOGGER.matcher(path);
        Route route = path.startsWith(ENDPOINTS)
                ? endpointRoute(path)
                : logger.matches() ? levelRoute(logger.group(1), logger.group(2)) : fixed.get(path);
        if (route == null) {
            return AdminResponse.of(HttpResponseStatus.NOT_FOUND, "unknown path");
        }
        if (!route.method().equals(method)) {
            return new AdminResponse(
                    HttpResponseStatus.METHOD_NOT_ALLOWED,
                    "this path takes " + route.method() + " only\n",
                    route.method());
        }
        return route.call().get();
    }

    private Route endpointRoute(String path) {
        int slash = path.lastIndexOf('/');
        Function<String, AdminResponse> call = ofEndpoint.get(path.substring(slash));
        if (call == null || slash <= ENDPOINTS.length() || path.indexOf('/', ENDPOINTS.length()) < slash) {
            return null;
        }
        String encoded = path.substring(ENDPOINTS.length(), slash);
        return new Route(HttpMethod.PUT, () -> {
            String id;
            try {
                id = QueryStringDecoder.decodeComponent(encoded.replace("+", "%2B"));
            } catch (IllegalArgumentException e) {
                return AdminResponse.of(HttpResponseStatus.BAD_REQUEST, "the endpoint's id is not readable");
            }
            return call.apply(id);
        });
    }

    private Route levelRoute(String logger, String level) {
        Severity severity = Severity.valueOf(level.toUpperCase(Locale.ROOT));
        return new Route(
                HttpMethod.PUT,
                () -> operations.level(logger, severity)
                        ? AdminResponse.of(HttpResponseStatus.OK, logger + "=" + level)
                        : AdminResponse.of(HttpResponseStatus.CONFLICT, "too many loggers have a level of their own"));
    }

    private AdminResponse ready() {
        return AdminResponse.of(
                operations.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                operations.phase());
    }

    private static AdminResponse done(String line, Runnable call) {
        call.run();
        return AdminResponse.of(HttpResponseStatus.OK, line);
    }

    private static AdminResponse answer(String word, AdminOperations.Verdict verdict) {
        return switch (verdict) {
            case DONE -> AdminResponse.of(HttpResponseStatus.OK, word);
            case UNKNOWN_ENDPOINT ->
                AdminResponse.of(HttpResponseStatus.NOT_FOUND, "no endpoint of that id was ever listed");
            case FAILED -> AdminResponse.of(HttpResponseStatus.INTERNAL_SERVER_ERROR, "not " + word + ": see the log");
        };
    }
}
