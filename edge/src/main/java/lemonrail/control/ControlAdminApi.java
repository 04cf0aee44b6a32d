package lemonrail.control;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import lemonrail.admin.AdminHandler;
import lemonrail.admin.AdminResponse;
import lemonrail.config.ConfigException;
import lemonrail.config.ConfigProblem;
import lemonrail.config.SettingsDocument;
import lemonrail.core.replication.MergeOutcome;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.json.Json;

/** Maps the requests of a control node's admin API to operations of the node. */
final class ControlAdminApi implements AdminHandler {

    /** Allows a settings document of maximum length: UTF-8 uses up to 4 bytes for a character. */
    static final int MAX_BODY_BYTES = 4 * EntryCodec.MAX_DOCUMENT_CHARS;

    private static final Pattern SERVICE_PATH = Pattern.compile("/v1/services/([^/]+)/endpoints");
    private static final Pattern ENDPOINT_PATH =
            Pattern.compile("/v1/services/([^/]+)/endpoints/([^/]+)(/drain|/activate)?");
    private static final Pattern SETTINGS_PATH = Pattern.compile("/v1/settings/([^/]+)");
    private static final String DRAIN_ACTION = "/drain";
    private static final String AS_OF_PARAMETER = "as_of_ms";

    private final ControlNode node;

    ControlAdminApi(ControlNode node) {
        this.node = node;
    }

    @Override
    public AdminResponse handle(HttpMethod method, String uri, byte[] body) {
        QueryStringDecoder query = new QueryStringDecoder(uri);
        try {
            return route(method, query.path(), parseAsOfMs(query), body);
        } catch (ConfigException e) {
            return AdminResponse.of(
                    HttpResponseStatus.BAD_REQUEST,
                    e.problems().stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
        } catch (IllegalArgumentException e) {
            return AdminResponse.of(HttpResponseStatus.BAD_REQUEST, String.valueOf(e.getMessage()));
        } catch (IllegalStateException e) {
            return AdminResponse.of(HttpResponseStatus.SERVICE_UNAVAILABLE, String.valueOf(e.getMessage()));
        }
    }

    private static long parseAsOfMs(QueryStringDecoder query) {
        List<String> values = query.parameters().get(AS_OF_PARAMETER);
        return values == null ? ReplicatedStore.AS_OF_NOW : Long.parseLong(values.get(0));
    }

    private AdminResponse route(HttpMethod method, String path, long asOfMs, byte[] body) {
        Matcher endpoint = ENDPOINT_PATH.matcher(path);
        if (endpoint.matches()) {
            String service = endpoint.group(1);
            String id = endpoint.group(2);
            String action = endpoint.group(3);
            return action == null
                    ? handleEndpoint(method, service, id, asOfMs, body)
                    : handleEndpointAction(method, service, id, action, asOfMs);
        }
        Matcher settings = SETTINGS_PATH.matcher(path);
        if (settings.matches()) {
            return handleSettings(method, settings.group(1), asOfMs, body);
        }
        Matcher service = SERVICE_PATH.matcher(path);
        if (service.matches()) {
            return requireMethod(HttpMethod.GET, method, () -> listEndpoints(service.group(1)));
        }
        return switch (path) {
            case "/v1/readyz" -> requireMethod(HttpMethod.GET, method, this::getReadiness);
            case "/v1/control" -> requireMethod(HttpMethod.GET, method, this::getStatus);
            case "/v1/metrics" -> requireMethod(HttpMethod.GET, method, this::getMetrics);
            case "/v1/control/begin" -> requireMethod(HttpMethod.PUT, method, this::bootstrap);
            default -> AdminResponse.of(HttpResponseStatus.NOT_FOUND, "unknown path");
        };
    }

    private static AdminResponse requireMethod(HttpMethod allowed, HttpMethod method, Supplier<AdminResponse> handler) {
        return allowed.equals(method)
                ? handler.get()
                : new AdminResponse(
                        HttpResponseStatus.METHOD_NOT_ALLOWED,
                        "method not allowed: this path supports only " + allowed + "\n",
                        allowed);
    }

    private AdminResponse listEndpoints(String service) {
        List<VersionedEntry> entries = node.liveEntries(EntryNames.require("service", service));
        return new AdminResponse(HttpResponseStatus.OK, "{" + EntryCodec.encodeEntries(entries) + "}\n", null);
    }

    private AdminResponse getReadiness() {
        return node.isReady()
                ? AdminResponse.of(HttpResponseStatus.OK, "ready")
                : AdminResponse.of(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "not ready: no full snapshot received from another control node yet");
    }

    private AdminResponse getStatus() {
        return AdminResponse.of(HttpResponseStatus.OK, Json.text(node.status().toJson()));
    }

    private AdminResponse bootstrap() {
        node.bootstrap();
        return AdminResponse.of(HttpResponseStatus.OK, "begun");
    }

    private AdminResponse handleEndpointAction(
            HttpMethod method, String service, String id, String action, long asOfMs) {
        VersionedEntry entry = node.entry(service, id);
        String state = action.equals(DRAIN_ACTION) ? EndpointBody.STATE_DRAINING : EndpointBody.STATE_READY;
        return requireMethod(
                HttpMethod.PUT,
                method,
                () -> isLive(entry)
                        ? put(new ConfigurationChange(service, id, false, EndpointBody.withState(entry, state), asOfMs))
                        : notFound());
    }

    private AdminResponse handleEndpoint(HttpMethod method, String service, String id, long asOfMs, byte[] body) {
        if (method.equals(HttpMethod.GET)) {
            VersionedEntry entry = node.entry(service, id);
            return isLive(entry) ? AdminResponse.of(HttpResponseStatus.OK, entry.body()) : notFound();
        }
        if (method.equals(HttpMethod.DELETE)) {
            return put(ConfigurationChange.removeEndpoint(service, id).asOf(asOfMs));
        }
        return requireMethod(
                HttpMethod.PUT,
                method,
                () -> put(ConfigurationChange.endpoint(service, id, body).asOf(asOfMs)));
    }

    private static boolean isLive(VersionedEntry entry) {
        return entry != null && !entry.removed();
    }

    private AdminResponse handleSettings(HttpMethod method, String name, long asOfMs, byte[] body) {
        if (method.equals(HttpMethod.GET)) {
            String text = node.liveBody(VersionedEntry.settingsTopic(name), name);
            return text == null ? notFound() : new AdminResponse(HttpResponseStatus.OK, text, null);
        }
        if (method.equals(HttpMethod.DELETE)) {
            return put(ConfigurationChange.removeSettings(name).asOf(asOfMs));
        }
        return requireMethod(HttpMethod.PUT, method, () -> {
            String text = new String(body, StandardCharsets.UTF_8);
            SettingsDocument.check(text);
            return put(ConfigurationChange.settings(name, text).asOf(asOfMs));
        });
    }

    private static AdminResponse notFound() {
        return AdminResponse.of(HttpResponseStatus.NOT_FOUND, "no such endpoint or settings document");
    }

    private AdminResponse put(ConfigurationChange change) {
        MergeOutcome outcome = node.put(change);
        return switch (outcome) {
            case APPLIED -> AdminResponse.of(HttpResponseStatus.OK, "accepted " + timestampOf(change));
            case ALREADY_KNOWN ->
                change.removed() ? notFound() : AdminResponse.of(HttpResponseStatus.OK, "known already");
            case SUPERSEDED ->
                AdminResponse.of(HttpResponseStatus.CONFLICT, "a newer version exists: " + timestampOf(change));
            default ->
                AdminResponse.of(
                        HttpResponseStatus.INSUFFICIENT_STORAGE, "store full: limit on entries or topics reached");
        };
    }

    private String timestampOf(ConfigurationChange change) {
        return node.entry(change.topic(), change.id()).timestamp().encode();
    }

    private AdminResponse getMetrics() {
        WatchCounters counters = node.watchCounters();
        ControlNodeStatus status = node.status();
        StringBuilder text = new StringBuilder();
        appendMetric(text, "connections", counters.connections());
        appendMetric(text, "waiting", counters.waiting());
        appendMetric(text, "answers", counters.responses());
        appendMetric(text, "answer_bytes", counters.responseBytes());
        appendMetric(text, "slow_closed", counters.slowClosed());
        appendMetric(text, "texts_made", counters.encodedBodies());
        appendMetric(text, "items", status.entryCount());
        appendMetric(text, "removed", status.tombstoneCount());
        appendMetric(text, "age_ms", status.replicationAgeMs());
        return new AdminResponse(HttpResponseStatus.OK, text.toString(), null);
    }

    private static void appendMetric(StringBuilder text, String name, long value) {
        text.append("control.").append(name).append('=').append(value).append('\n');
    }
}
