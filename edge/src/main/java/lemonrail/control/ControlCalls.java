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
import lemonrail.admin.Answer;
import lemonrail.admin.Calls;
import lemonrail.config.ConfigException;
import lemonrail.config.Problem;
import lemonrail.config.SettingsDocument;
import lemonrail.core.control.ControlState.Taken;
import lemonrail.core.control.Item;
import lemonrail.json.Json;

/** The operators' calls at a control node: which is which, and what each does. */
final class ControlCalls implements Calls {

    static final int MOST_BODY_BYTES = 4 * ItemText.MOST_DOCUMENT;

    private static final Pattern SERVICE = Pattern.compile("/v1/services/([^/]+)/endpoints");
    private static final Pattern ENDPOINT =
            Pattern.compile("/v1/services/([^/]+)/endpoints/([^/]+)(/drain|/activate)?");
    private static final Pattern SETTINGS = Pattern.compile("/v1/settings/([^/]+)");

    private final ControlNode node;

    ControlCalls(ControlNode node) {
        this.node = node;
    }

    @Override
    public Answer answer(HttpMethod method, String uri, byte[] body) {
        QueryStringDecoder call = new QueryStringDecoder(uri);
        try {
            return route(method, call.path(), asOf(call), body);
        } catch (ConfigException e) {
            return Answer.of(
                    HttpResponseStatus.BAD_REQUEST,
                    e.problems().stream().map(Problem::toString).collect(Collectors.joining("\n")));
        } catch (IllegalArgumentException e) {
            return Answer.of(HttpResponseStatus.BAD_REQUEST, String.valueOf(e.getMessage()));
        } catch (IllegalStateException e) {
            return Answer.of(HttpResponseStatus.SERVICE_UNAVAILABLE, String.valueOf(e.getMessage()));
        }
    }

    private static long asOf(QueryStringDecoder call) {
        List<String> given = call.parameters().get("as_of_ms");
        return given == null ? Long.MAX_VALUE : Long.parseLong(given.get(0));
    }

    private Answer route(HttpMethod method, String path, long asOfMs, byte[] body) {
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
                    () -> new Answer(
                            HttpResponseStatus.OK,
                            "{" + ItemText.lists(node.items(ItemText.word("service", service.group(1)))) + "}\n",
                            null));
        }
        return switch (path) {
            case "/v1/readyz" ->
                only(
                        HttpMethod.GET,
                        method,
                        () -> node.isReady()
                                ? Answer.of(HttpResponseStatus.OK, "ready")
                                : Answer.of(
                                        HttpResponseStatus.SERVICE_UNAVAILABLE, "no other node has been heard yet"));
            case "/v1/control" ->
                only(HttpMethod.GET, method, () -> Answer.of(HttpResponseStatus.OK, Json.text(node.status())));
            case "/v1/metrics" -> only(HttpMethod.GET, method, this::figures);
            case "/v1/control/begin" ->
                only(HttpMethod.PUT, method, () -> {
                    node.begin();
                    return Answer.of(HttpResponseStatus.OK, "begun");
                });
            default -> Answer.of(HttpResponseStatus.NOT_FOUND, "unknown path");
        };
    }

    private static Answer only(HttpMethod taken, HttpMethod method, Supplier<Answer> call) {
        return taken.equals(method)
                ? call.get()
                : new Answer(HttpResponseStatus.METHOD_NOT_ALLOWED, "this path takes " + taken + " only\n", taken);
    }

    private Answer endpoint(HttpMethod method, String service, String id, String then, long asOfMs, byte[] body) {
        Item item = node.item(service, id);
        boolean there = item != null && !item.gone();
        if (then != null) {
            String state = then.equals("/drain") ? "terminating" : "in_service";
            return only(
                    HttpMethod.PUT,
                    method,
                    () -> !there
                            ? unknown()
                            : put(new Change(service, id, false, ItemText.withState(item, state), asOfMs)));
        }
        if (method.equals(HttpMethod.GET)) {
            return there ? Answer.of(HttpResponseStatus.OK, item.body()) : unknown();
        }
        if (method.equals(HttpMethod.DELETE)) {
            return put(Change.endpointGone(service, id).asOf(asOfMs));
        }
        return only(
                HttpMethod.PUT,
                method,
                () -> put(Change.endpoint(service, id, body).asOf(asOfMs)));
    }

    private Answer settings(HttpMethod method, String name, long asOfMs, byte[] body) {
        if (method.equals(HttpMethod.GET)) {
            String text = node.get(Item.SETTINGS + name, name);
            return text == null ? unknown() : new Answer(HttpResponseStatus.OK, text, null);
        }
        if (method.equals(HttpMethod.DELETE)) {
            return put(Change.settingsGone(name).asOf(asOfMs));
        }
        return only(HttpMethod.PUT, method, () -> {
            String text = new String(body, StandardCharsets.UTF_8);
            SettingsDocument.check(text);
            return put(Change.settings(name, text).asOf(asOfMs));
        });
    }

    private static Answer unknown() {
        return Answer.of(HttpResponseStatus.NOT_FOUND, "there is no such thing");
    }

    private Answer put(Change change) {
        Taken taken = node.put(change);
        return switch (taken) {
            case NEWS ->
                Answer.of(
                        HttpResponseStatus.OK,
                        "accepted "
                                + node.item(change.topic(), change.id()).stamp().text());
            case KNOWN -> change.gone() ? unknown() : Answer.of(HttpResponseStatus.OK, "known already");
            case OLDER ->
                Answer.of(
                        HttpResponseStatus.CONFLICT,
                        "a newer word is known: "
                                + node.item(change.topic(), change.id()).stamp().text());
            default -> Answer.of(HttpResponseStatus.INSUFFICIENT_STORAGE, "there are too many items");
        };
    }

    private Answer figures() {
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
        return new Answer(HttpResponseStatus.OK, text.toString(), null);
    }
}
