package lemonrail.lab;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import lemonrail.lab.cli.DurationConverter;
import lemonrail.lab.cli.ShutdownInterrupter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code demo}: shows a new user what an edge does. */
@Command(
        name = "demo",
        description = {
            "Run an edge with simulated endpoints on this machine and show what it does.",
            "From time to time an endpoint fails or stops responding, and the edge sends requests to the others."
        })
final class DemoCommand implements Callable<Integer> {

    private static final int MAX_RATE = 2000;

    @Option(
            names = {"-c", "--config"},
            paramLabel = "FILE",
            defaultValue = "${sys:lemonrail.home:-.}/deploy/lemonrail.toml",
            description = "edge configuration file with the request classes and limits; its addresses are not used "
                    + "(default: the example in deploy)")
    private Path config;

    @Option(
            names = "--for",
            paramLabel = "TIME",
            converter = DurationConverter.class,
            defaultValue = "10m",
            description =
                    "duration, for example 10s or 2m (${DEFAULT-VALUE}); the demo ends earlier when " + "interrupted")
    private double lengthMs;

    @Option(names = "--rate", defaultValue = "40", description = "requests per second (${DEFAULT-VALUE})")
    private int rate;

    @Option(names = "--endpoints", defaultValue = "3", description = "number of simulated endpoints (${DEFAULT-VALUE})")
    private int endpoints;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "seed of the random endpoint work and faults (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--calm", description = "run without endpoint faults")
    private boolean calm;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (rate < 1 || rate > MAX_RATE) {
            throw new IllegalArgumentException("--rate = " + rate + ": must be from 1 to " + MAX_RATE);
        }
        if (endpoints < 1 || endpoints > 32) {
            throw new IllegalArgumentException("--endpoints = " + endpoints + ": must be from 1 to 32");
        }
        if (lengthMs <= 0) {
            throw new IllegalArgumentException("--for: must be above 0 ms");
        }
        PrintWriter out = spec.commandLine().getOut();
        try (ShutdownInterrupter interrupter = new ShutdownInterrupter();
                Demo demo = new Demo(
                        config,
                        rate,
                        endpoints,
                        seed,
                        calm,
                        Duration.ofMillis(Math.round(lengthMs)),
                        out,
                        System.console() != null)) {
            demo.run();
            return demo.hasPassed() ? 0 : 1;
        }
    }
}
