package lemonrail.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import lemonrail.config.ConfigException;
import lemonrail.config.ConfigProblem;
import lemonrail.config.ConfigSource;
import lemonrail.config.ControlFile;
import lemonrail.config.LoadedConfiguration;
import lemonrail.config.SchemaPrinter;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The calls of the command line. */
@Command(
        name = "lemonrail",
        description = "An edge between clients and the endpoints that serve them.",
        scope = ScopeType.INHERIT,
        mixinStandardHelpOptions = true,
        versionProvider = CommandLineCalls.Version.class,
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {"0:all is well", "1:it has failed", "2:the call or the configuration is no good"},
        subcommands = {
            CommandLineCalls.Serve.class,
            CommandLineCalls.Control.class,
            CommandLineCalls.Check.class,
            CommandLineCalls.Config.class,
            CommandLineCalls.BenchLinkCall.class,
            CommandLineCalls.VersionCall.class,
            AutoComplete.GenerateCompletion.class
        })
final class CommandLineCalls implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    private CommandLineCalls() {}

    /** Carries a call out; returns the exit status. */
    static int run(String... args) {
        return new CommandLine(new CommandLineCalls())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    line.getErr().println("lemonrail: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
                    return e instanceof IllegalArgumentException ? Main.BAD_INPUT : Main.FAILURE;
                })
                .execute(args);
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Main.BAD_INPUT;
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return "lemonrail " + (version == null ? "(not packaged)" : version);
    }

    /** Tells the version. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {version()};
        }
    }

    /** The option that names a file, or the variable that does where it is not given. */
    static final class ConfigOption {
        @Option(
                names = {"-c", "--config"},
                paramLabel = "FILE",
                description = "the configuration: .toml is the operators' form, all else the platform's JSON; "
                        + "$GW_CONFIG if not given")
        private Path file;

        private Path file() {
            String variable = System.getenv(Main.CONFIG_VARIABLE);
            if (file == null && (variable == null || variable.isBlank())) {
                throw new IllegalArgumentException(
                        "no configuration: give --config FILE or set " + Main.CONFIG_VARIABLE);
            }
            return file == null ? Path.of(variable) : file;
        }
    }

    /** One edge. */
    @Command(name = "serve", description = "Run an edge until SIGTERM; SIGHUP reads the configuration again.")
    static final class Serve implements Callable<Integer> {
        @CommandLine.Mixin
        private ConfigOption config;

        @Override
        public Integer call() {
            return Main.serve(config.file(), System.err);
        }
    }

    /** One control node. */
    @Command(name = "control", description = "Run a control node until SIGTERM: a file with a table [control].")
    static final class Control implements Callable<Integer> {
        @CommandLine.Mixin
        private ConfigOption config;

        @Override
        public Integer call() {
            return new ControlNodeProcess(config.file(), System.getenv(), System.err).start();
        }
    }

    /** Validates files. */
    @Command(
            name = "check",
            description = {
                "Validate configurations and say what they would do.",
                "Everything that is wrong is a line with file, line, key, value and what is allowed."
            })
    static final class Check implements Callable<Integer> {
        @Parameters(arity = "1..*", paramLabel = "FILE", description = "files of either form")
        private List<Path> files;

        @Option(
                names = {"-q", "--quiet"},
                description = "say only what is wrong")
        private boolean quiet;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            PrintWriter out = spec.commandLine().getOut();
            List<ConfigProblem> problems = new ArrayList<>();
            for (Path file : files) {
                try {
                    List<String> lines = lines(file);
                    if (!quiet) {
                        lines.forEach(out::println);
                    }
                } catch (ConfigException e) {
                    problems.addAll(e.problems());
                }
            }
            problems.forEach(spec.commandLine().getErr()::println);
            return problems.isEmpty() ? Main.OK : Main.BAD_INPUT;
        }

        private static List<String> lines(Path file) throws IOException {
            return ControlFile.isOne(file, System.getenv())
                    ? ConfigurationSummary.lines(
                            file, new ControlFile(file, System.getenv()).load().config())
                    : ConfigurationSummary.lines(
                            file, ConfigSource.of(file, System.getenv()).load().config());
        }
    }

    /** Tells of configurations. */
    @Command(
            name = "config",
            description = "Show configurations.",
            subcommands = {Show.class, SchemaCall.class})
    static final class Config implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            spec.commandLine().usage(spec.commandLine().getErr());
            return Main.BAD_INPUT;
        }
    }

    /** Shows a file, or what it comes to. */
    @Command(name = "show", description = "Show a configuration's values.")
    static final class Show implements Callable<Integer> {
        @CommandLine.Mixin
        private ConfigOption config;

        @Option(
                names = "--effective",
                description = "all values in force and where each came from, " + "not only those that the file holds")
        private boolean effective;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            for (LoadedConfiguration.Value value : ControlFile.isOne(config.file(), System.getenv())
                    ? new ControlFile(config.file(), System.getenv()).load().values()
                    : ConfigSource.of(config.file(), System.getenv()).load().values()) {
                if (effective || !value.origin().equals("default")) {
                    spec.commandLine()
                            .getOut()
                            .println(value.key() + " = " + value.text() + "  # " + value.origin()
                                    + (value.live() ? "" : ", needs a restart"));
                }
            }
            return Main.OK;
        }
    }

    /** Shows what a file may say. */
    @Command(name = "schema", description = "Show all that the operators' file may say.")
    static final class SchemaCall implements Callable<Integer> {
        /** The forms of the schema. */
        enum Form {
            TEXT,
            JSON
        }

        @Option(
                names = "--format",
                defaultValue = "text",
                description = "text for people, or json for a JSON Schema (2020-12); text if not given")
        private Form format;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            spec.commandLine().getOut().print(format == Form.JSON ? SchemaPrinter.json() : SchemaPrinter.text());
            spec.commandLine().getOut().flush();
            return Main.OK;
        }
    }

    /** The simulator's adapter. */
    @Command(name = "benchlink", description = "Serve the simulator's wire on standard input and output.")
    static final class BenchLinkCall implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            return Main.benchlink(System.err);
        }
    }

    /** The version. */
    @Command(name = "version", description = "Print the version.")
    static final class VersionCall implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            spec.commandLine().getOut().println(version());
            return Main.OK;
        }
    }
}
