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

/** Maps the method and path of a request to an operation, and the result to a response. Has no state. */
final class AdminRouter implements AdminHandler {

    private static final String ENDPOINTS_PATH = "/v1/endpoints/";
    private static final Pattern LOGGER_LEVEL_PATH =
            Pattern.compile("/v1/loggers/(lemonrail(?:\\.[a-z0-9]{1,32})?)/(debug|info|warn|error)");

    private record Route(HttpMethod method, Supplier<AdminResponse> handler) {}

    private final AdminOperations operations;
    private final Map<String, Route> fixedRoutes;
    /** The handlers of endpoint paths by the last segment of the path; the argument is the endpoint's id. */
    private final Map<String, Function<String, AdminResponse>> endpointActions;

    AdminRouter(AdminOperations operations) {
        this.operations = operations;
        fixedRoutes = Map.of(
                "/v1/readyz", get(this::getReadiness),
                "/v1/metrics", get(() -> AdminResponse.ofText(HttpResponseStatus.OK, operations.renderMetrics())),
                "/v1/loggers", get(() -> AdminResponse.ofText(HttpResponseStatus.OK, operations.renderLevels())),
                "/v1/sidecar/drain", put(() -> run("draining", operations::drain)),
                "/v1/sidecar/activate", put(() -> run("active", operations::activate)));
        endpointActions = Map.of(
                "/suspend", id -> toResponse("suspended", operations.suspend(id)),
                "/resume", id -> toResponse("resumed", operations.resume(id)));
    }

    private static Route get(Supplier<AdminResponse> handler) {
        return new Route(HttpMethod.GET, handler);
    }

    private static Route put(Supplier<AdminResponse> handler) {
        return new Route(HttpMethod.PUT, handler);
    }

    @Override
    public AdminResponse handle(HttpMethod method, String uri, byte[] body) {
        int query = uri.indexOf('?');
        Route route = findRoute(query < 0 ? uri : uri.substring(0, query));
        if (route == null) {
            return AdminResponse.of(HttpResponseStatus.NOT_FOUND, "unknown path");
        }
        if (!route.method().equals(method)) {
            return AdminResponse.methodNotAllowed(route.method());
        }
        return route.handler().get();
    }

    /** Returns the route of a path, or null if there is none. */
    private Route findRoute(String path) {
        if (path.startsWith(ENDPOINTS_PATH)) {
            return endpointRoute(path);
        }
        Matcher loggerLevel = LOGGER_LEVEL_PATH.matcher(path);
        return loggerLevel.matches() ? levelRoute(loggerLevel.group(1), loggerLevel.group(2)) : fixedRoutes.get(path);
    }

    private Route endpointRoute(String path) {
        int lastSlash = path.lastIndexOf('/');
        Function<String, AdminResponse> action = endpointActions.get(path.substring(lastSlash));
        boolean hasOneIdSegment =
                lastSlash > ENDPOINTS_PATH.length() && path.indexOf('/', ENDPOINTS_PATH.length()) == lastSlash;
        if (action == null || !hasOneIdSegment) {
            return null;
        }
        String encodedId = path.substring(ENDPOINTS_PATH.length(), lastSlash);
        return put(() -> handleEndpoint(encodedId, action));
    }

    private static AdminResponse handleEndpoint(String encodedId, Function<String, AdminResponse> action) {
        String id;
        try {
            id = QueryStringDecoder.decodeComponent(encodedId.replace("+", "%2B"));
        } catch (IllegalArgumentException e) {
            return AdminResponse.of(HttpResponseStatus.BAD_REQUEST, "invalid percent-encoding in the endpoint id");
        }
        return action.apply(id);
    }

    private Route levelRoute(String logger, String level) {
        Severity severity = Severity.valueOf(level.toUpperCase(Locale.ROOT));
        return put(() -> operations.setLevel(logger, severity)
                ? AdminResponse.of(HttpResponseStatus.OK, logger + "=" + level)
                : AdminResponse.of(
                        HttpResponseStatus.CONFLICT, "limit on loggers with an individually set level reached"));
    }

    private AdminResponse getReadiness() {
        HttpResponseStatus status =
                operations.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
        return AdminResponse.of(status, operations.phase());
    }

    private static AdminResponse run(String line, Runnable operation) {
        operation.run();
        return AdminResponse.of(HttpResponseStatus.OK, line);
    }

    private static AdminResponse toResponse(String doneText, AdminOperations.Result result) {
        return switch (result) {
            case DONE -> AdminResponse.of(HttpResponseStatus.OK, doneText);
            case UNKNOWN_ENDPOINT ->
                AdminResponse.of(HttpResponseStatus.NOT_FOUND, "no endpoint with this id is or was listed");
            case FAILED ->
                AdminResponse.of(
                        HttpResponseStatus.INTERNAL_SERVER_ERROR, "not " + doneText + ", see the log for the reason");
        };
    }
}
