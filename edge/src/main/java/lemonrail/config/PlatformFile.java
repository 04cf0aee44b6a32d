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

/** The platform's JSON, as GW_CONFIG names it; the variables GW_MGMT and TMPDIR add to it. */
public record PlatformFile(Path file, Map<String, String> environment) implements ConfigSource {

    private static final String ADMIN_VARIABLE = "GW_MGMT";
    private static final String FOLDER_VARIABLE = "TMPDIR";
    private static final String WAIT_VARIABLE = "LEMONRAIL_DISCOVERY_WAIT";

    @Override
    public LoadedConfiguration load() throws IOException {
        EdgeConfig config = read();
        return new LoadedConfiguration(config, PlatformValues.of(this, config));
    }

    private EdgeConfig read() throws IOException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            throw whole(0, "GW_CONFIG names a file that is not there");
        }
        try {
            if (!(Json.parse(bytes) instanceof Map<?, ?> config)) {
                throw whole(1, "it holds no JSON object");
            }
            return of(config);
        } catch (JsonProcessingException e) {
            throw whole(e.getLocation().getLineNr(), "it is not JSON: " + e.getOriginalMessage());
        } catch (InvalidFieldException e) {
            throw new ConfigException(List.of(
                    new ConfigProblem(file, JsonLines.line(bytes, e.field()), e.field(), e.value(), e.getMessage())));
        } catch (IllegalArgumentException e) {
            throw e instanceof ConfigException ? e : whole(0, e.getMessage());
        }
    }

    private ConfigException whole(int line, String why) {
        return new ConfigException(List.of(new ConfigProblem(file, line, "", null, why)));
    }

    private EdgeConfig of(Map<?, ?> config) {
        Map<String, Object> settings = object("settings", config.get("settings"));
        Map<String, Object> limits = object("settings.limits", settings.get("limits"));
        object("settings.rules", settings.get("rules"));
        positive("settings.limits.dial-timeout-ms", limits.get("dial-timeout-ms"));
        positive("settings.limits.try-limit", limits.get("try-limit"));
        EndpointList.Names names = new EndpointList.Names(
                words("settings.azs", settings.get("azs")), words("settings.models", settings.get("models")));
        return new EdgeConfig(
                String.valueOf(config.get("name")),
                List.of(SocketAddressReader.read("listen", config.get("listen"))),
                adminAddress(config.get("mgmt")),
                SocketAddressReader.read("discovery", config.get("discovery")),
                discoveryWaitMs(),
                folder(environment),
                seed(config.get("seed")),
                positive("limits.memory_mb", limit(config, "memory_mb")),
                (int) positive("limits.sockets", limit(config, "sockets")),
                positive("settings.limits.idle-close-ms", limits.get("idle-close-ms")),
                names,
                EndpointListReader.read(object("known", config.get("known")), names),
                SettingsReader.settings(settings),
                LogSettings.USUAL,
                null);
    }

    private static Object limit(Map<?, ?> config, String name) {
        return object("limits", config.get("limits")).get(name);
    }

    private InetSocketAddress adminAddress(Object value) {
        String variable = environment.getOrDefault(ADMIN_VARIABLE, "");
        if (value != null) {
            return SocketAddressReader.read("mgmt", value);
        }
        return variable.isBlank() ? null : SocketAddressReader.read(ADMIN_VARIABLE, variable);
    }

    /** Read like the key of the operators' file, whose reader is loaded only where the variable is set. */
    private Double discoveryWaitMs() {
        String text = environment.get(WAIT_VARIABLE);
        if (text == null) {
            return null;
        }
        ValueType<Double> type = Schema.DISCOVERY_WAIT.type();
        Double waitMs = type.read().apply(new ValueType.Variable(text));
        if (waitMs == null) {
            throw new ConfigException(
                    List.of(new ConfigProblem(file, 0, WAIT_VARIABLE, text, "must be " + type.allowed())));
        }
        return waitMs;
    }

    /** Where what outlives the process is kept, unless a file says otherwise. */
    static Path folder(Map<String, String> environment) {
        String named = environment.getOrDefault(FOLDER_VARIABLE, "");
        return Path.of(named.isBlank() ? System.getProperty("java.io.tmpdir") : named);
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
