package lemonrail.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import lemonrail.config.ConfigException;
import lemonrail.config.ConfigProblem;
import lemonrail.config.ConfigSource;
import lemonrail.config.ControlFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Validates configuration files and prints a summary of each. */
@Command(
        name = "check",
        description = {
            "Validate configuration files and print a summary of each valid one.",
            "Each problem is one line on standard error: file, line, key, value and what is allowed."
        })
final class CheckCommand implements Callable<Integer> {

    @Parameters(
            arity = "1..*",
            paramLabel = "FILE",
            description = "configuration files: the operators' TOML (.toml) or the platform's JSON")
    private List<Path> files;

    @Option(
            names = {"-q", "--quiet"},
            description = "print problems only")
    private boolean quiet;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        List<ConfigProblem> problems = new ArrayList<>();
        for (Path file : files) {
            try {
                List<String> summary = summarize(file, System.getenv());
                if (!quiet) {
                    summary.forEach(out::println);
                }
            } catch (ConfigException e) {
                problems.addAll(e.problems());
            }
        }
        problems.forEach(spec.commandLine().getErr()::println);
        return problems.isEmpty() ? Main.OK : Main.BAD_INPUT;
    }

    private static List<String> summarize(Path file, Map<String, String> environment) throws IOException {
        if (ControlFile.isControlFile(file, environment)) {
            ControlFile source = new ControlFile(file, environment);
            return ConfigurationSummary.lines(file, source.load().config());
        }
        ConfigSource source = ConfigSource.of(file, environment);
        return ConfigurationSummary.lines(file, source.load().config());
    }
}
