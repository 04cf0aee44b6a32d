package lemonrail.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemonrail.core.SettingsReader;
import lemonrail.discovery.EndpointList;
import lemonrail.discovery.EndpointListReader;
import lemonrail.discovery.SocketAddressReader;
import lemonrail.json.InvalidFieldException;
import lemonrail.json.Json;
import lemonrail.logging.LogSettings;

/**
 * The platform's JSON file, which {@code GW_CONFIG} names; {@code GW_MGMT} and {@code TMPDIR} of the environment
 * add to it. This class maps the platform's field names to the terms of the code.
 */
public record PlatformFile(Path file, Map<String, String> environment) implements ConfigSource {

    private static final String ADMIN_VARIABLE = "GW_MGMT";
    private static final String STATE_FOLDER_VARIABLE = "TMPDIR";
    private static final String WAIT_VARIABLE = "LEMONRAIL_DISCOVERY_WAIT";

    @Override
    public LoadedConfiguration load() throws IOException {
        EdgeConfig config = read();
        return new LoadedConfiguration(config, PlatformValues.of(this, config));
    }

    /** The platform moves discovery while the process runs, and changes nothing else. */
    @Override
    public boolean reloadsDiscoveryOnly() {
        return true;
    }

    private EdgeConfig read() throws IOException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            throw problem(0, "GW_CONFIG names a file that is not there");
        }
        try {
            if (!(Json.parse(bytes) instanceof Map<?, ?> json)) {
                throw problem(1, "it holds no JSON object");
            }
            return edgeConfig(json);
        } catch (JsonProcessingException e) {
            throw problem(e.getLocation().getLineNr(), "it is not JSON: " + e.getOriginalMessage());
        } catch (InvalidFieldException e) {
            int line = JsonLines.lineOf(bytes, e.field());
            throw new ConfigException(new ConfigProblem(file, line, e.field(), e.value(), e.getMessage()));
        } catch (IllegalArgumentException e) {
            throw e instanceof ConfigException ? e : problem(0, e.getMessage());
        }
    }

    private ConfigException problem(int line, String message) {
        return new ConfigException(ConfigProblem.ofFile(file, line, message));
    }

    private EdgeConfig edgeConfig(Map<?, ?> json) {
        Map<String, Object> settings = object("settings", json.get("settings"));
        Map<String, Object> attemptLimits = object("settings.limits", settings.get("limits"));
        positive("settings.limits.dial-timeout-ms", attemptLimits.get("dial-timeout-ms"));
        positive("settings.limits.try-limit", attemptLimits.get("try-limit"));
        checkRules(object("settings.rules", settings.get("rules")));
        EndpointList.Names names = new EndpointList.Names(
                words("settings.azs", settings.get("azs")), words("settings.models", settings.get("models")));
        return new EdgeConfig(
                String.valueOf(json.get("name")),
                List.of(SocketAddressReader.read("listen", json.get("listen"))),
                adminAddress(json.get("mgmt")),
                SocketAddressReader.read("discovery", json.get("discovery")),
                discoveryWaitMs(),
                stateFolder(environment),
                seed(json.get("seed")),
                positive("limits.memory_mb", limit(json, "memory_mb")),
                (int) positive("limits.sockets", limit(json, "sockets")),
                positive("settings.limits.idle-close-ms", attemptLimits.get("idle-close-ms")),
                names,
                EndpointListReader.read(object("known", json.get("known")), names),
                SettingsReader.read(settings),
                LogSettings.DEFAULT,
                null);
    }

    /** Rules may be left out; the problem of one that is given names the platform's key. */
    private static void checkRules(Map<String, Object> rules) {
        if (rules.get("fall-ms") instanceof Double windowMs && windowMs <= 0) {
            throw new InvalidFieldException("settings.rules.fall-ms", windowMs);
        }
        if (rules.get("drain-grace-ms") instanceof Double graceMs && graceMs < 0) {
            throw new InvalidFieldException("settings.rules.drain-grace-ms", graceMs);
        }
    }

    private static Object limit(Map<?, ?> json, String name) {
        return object("limits", json.get("limits")).get(name);
    }

    private InetSocketAddress adminAddress(Object value) {
        String variable = environment.getOrDefault(ADMIN_VARIABLE, "");
        if (value != null) {
            return SocketAddressReader.read("mgmt", value);
        }
        return variable.isBlank() ? null : SocketAddressReader.read(ADMIN_VARIABLE, variable);
    }

    /** Parsed like the key of the operators' file; its schema is loaded only if the variable is set. */
    private Double discoveryWaitMs() {
        String text = environment.get(WAIT_VARIABLE);
        if (text == null) {
            return null;
        }
        ValueType<Double> type = Schema.DISCOVERY_WAIT.type();
        return type.parse(new ValueType.Variable(text))
                .orElseThrow(() -> new ConfigException(
                        new ConfigProblem(file, 0, WAIT_VARIABLE, text, "must be " + type.allowed())));
    }

    /** Returns the folder of files that outlive the process, unless the configuration names another. */
    static Path stateFolder(Map<String, String> environment) {
        String folder = environment.getOrDefault(STATE_FOLDER_VARIABLE, "");
        return Path.of(folder.isBlank() ? System.getProperty("java.io.tmpdir") : folder);
    }

    private static long seed(Object value) {
        try {
            return Long.parseUnsignedLong(value instanceof String text ? text : "", 16);
        } catch (NumberFormatException e) {
            throw new InvalidFieldException("seed", value);
        }
    }

    private static double positive(String field, Object value) {
        if (value instanceof Double number && number > 0) {
            return number;
        }
        throw new InvalidFieldException(field, value);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(String field, Object value) {
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new InvalidFieldException(field, value);
    }

    private static List<String> words(String field, Object value) {
        if (!(value instanceof List<?> list)) {
            throw new InvalidFieldException(field, value);
        }
        List<String> words = new ArrayList<>();
        for (Object word : list) {
            words.add(String.valueOf(word));
        }
        return words;
    }
}
