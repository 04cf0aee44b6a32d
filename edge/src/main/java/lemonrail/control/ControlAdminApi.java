package lemonrail.control;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import lemonrail.admin.AdminHandlers;
import lemonrail.admin.AdminResponse;
import lemonrail.config.ConfigException;
import lemonrail.config.ConfigProblem;
import lemonrail.config.SettingsDocument;
import lemonrail.core.replication.MergeOutcome;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.json.Json;

/** The operators' calls at a control node: which is which, and what each does. */
final class ControlAdminApi implements AdminHandlers {

    static final int MOST_BODY_BYTES = 4 * EntryCodec.MOST_DOCUMENT;

    private static final Pattern SERVICE = Pattern.compile("/v1/services/([^/]+)/endpoints");
    private static final Pattern ENDPOINT =
            Pattern.compile("/v1/services/([^/]+)/endpoints/([^/]+)(/drain|/activate)?");
    private static final Pattern SETTINGS = Pattern.compile("/v1/settings/([^/]+)");

    private final ControlNode node;

    ControlAdminApi(ControlNode node) {
        this.node = node;
    }

    @Override
    public AdminResponse handle(HttpMethod method, String uri, byte[] body) {
        QueryStringDecoder call = new QueryStringDecoder(uri);
        try {
            return route(method, call.path(), asOf(call), body);
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

    private static long asOf(QueryStringDecoder call) {
        List<String> given = call.parameters().get("as_of_ms");
        return given == null ? Long.MAX_VALUE : Long.parseLong(given.get(0));
    }

    private AdminResponse route(HttpMethod method, String path, long asOfMs, byte[] body) {
        Matcher endpoint = ENDPOINT.matcher(path);
        if (endpoint.matches()) {
            return endpoint(method, endpoint.group(1), endpoint.group(2), endpoint.group(3), asOfMs, body);
        }
        Matcher settings = SETTINGS.matcher(path);
        if (settings.matches()) {
            return settings(method, settings.group(1), asOfMs, body);
        }
        Matcher service = SERVICE.matcher(path);
        if (service.matches()) {
            return only(
                    HttpMethod.GET,
                    method,
                    () -> new AdminResponse(
                            HttpResponseStatus.OK,
                            "{" + EntryCodec.lists(node.items(EntryCodec.word("service", service.group(1)))) + "}\n",
                            null));
        }
        return switch (path) {
            case "/v1/readyz" ->
                only(
                        HttpMethod.GET,
                        method,
                        () -> node.isReady()
                                ? AdminResponse.of(HttpResponseStatus.OK, "ready")
                                : AdminResponse.of(
                                        HttpResponseStatus.SERVICE_UNAVAILABLE, "no other node has been heard yet"));
            case "/v1/control" ->
                only(HttpMethod.GET, method, () -> AdminResponse.of(HttpResponseStatus.OK, Json.text(node.status())));
            case "/v1/metrics" -> only(HttpMethod.GET, method, this::figures);
            case "/v1/control/begin" ->
                only(HttpMethod.PUT, method, () -> {
                    node.begin();
                    return AdminResponse.of(HttpResponseStatus.OK, "begun");
                });
            default -> AdminResponse.of(HttpResponseStatus.NOT_FOUND, "unknown path");
        };
    }

    private static AdminResponse only(HttpMethod taken, HttpMethod method, Supplier<AdminResponse> call) {
        return taken.equals(method)
                ? call.get()
                : new AdminResponse(
                        HttpResponseStatus.METHOD_NOT_ALLOWED, "this path takes " + taken + " only\n", taken);
    }

    private AdminResponse endpoint(
            HttpMethod method, String service, String id, String then, long asOfMs, byte[] body) {
        VersionedEntry item = node.item(service, id);
        boolean there = item != null && !item.removed();
        if (then != null) {
            String state = then.equals("/drain") ? "terminating" : "in_service";
            return only(
                    HttpMethod.PUT,
                    method,
                    () -> !there
                            ? unknown()
                            : put(new ConfigurationChange(
                                    service, id, false, EntryCodec.withState(item, state), asOfMs)));
        }
        if (method.equals(HttpMethod.GET)) {
            return there ? AdminResponse.of(HttpResponseStatus.OK, item.body()) : unknown();
        }
        if (method.equals(HttpMethod.DELETE)) {
            return put(ConfigurationChange.endpointGone(service, id).asOf(asOfMs));
        }
        return only(
                HttpMethod.PUT,
                method,
                () -> put(ConfigurationChange.endpoint(service, id, body).asOf(asOfMs)));
    }

    private AdminResponse settings(HttpMethod method, String name, long asOfMs, byte[] body) {
        if (method.equals(HttpMethod.GET)) {
            String text = node.get(VersionedEntry.SETTINGS_TOPIC_PREFIX + name, name);
            return text == null ? unknown() : new AdminResponse(HttpResponseStatus.OK, text, null);
        }
        if (method.equals(HttpMethod.DELETE)) {
            return put(ConfigurationChange.settingsGone(name).asOf(asOfMs));
        }
        return only(HttpMethod.PUT, method, () -> {
            String text = new String(body, StandardCharsets.UTF_8);
            SettingsDocument.check(text);
            return put(ConfigurationChange.settings(name, text).asOf(asOfMs));
        });
    }

    private static AdminResponse unknown() {
        return AdminResponse.of(HttpResponseStatus.NOT_FOUND, "there is no such thing");
    }

    private AdminResponse put(ConfigurationChange change) {
        MergeOutcome taken = node.put(change);
        return switch (taken) {
            case APPLIED ->
                AdminResponse.of(
                        HttpResponseStatus.OK,
                        "accepted "
                                + node.item(change.topic(), change.id())
                                        .timestamp()
                                        .encode());
            case ALREADY_KNOWN ->
                change.removed() ? unknown() : AdminResponse.of(HttpResponseStatus.OK, "known already");
            case SUPERSEDED ->
                AdminResponse.of(
                        HttpResponseStatus.CONFLICT,
                        "a newer word is known: "
                                + node.item(change.topic(), change.id())
                                        .timestamp()
                                        .encode());
            default -> AdminResponse.of(HttpResponseStatus.INSUFFICIENT_STORAGE, "there are too many items");
        };
    }

    private AdminResponse figures() {
        List<Long> figures = node.figures();
        List<String> names = List.of("connections", "waiting", "answers", "answer_bytes", "slow_closed", "texts_made");
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < names.size(); i++) {
            text.append("control.")
                    .append(names.get(i))
                    .append('=')
                    .append(figures.get(i))
                    .append('\n');
        }
        Map<String, Object> status = node.status();
        for (String name : List.of("items", "removed", "age_ms")) {
            text.append("control.")
                    .append(name)
                    .append('=')
                    .append(status.get(name))
                    .append('\n');
        }
        return new AdminResponse(HttpResponseStatus.OK, text.toString(), null);
    }
}
