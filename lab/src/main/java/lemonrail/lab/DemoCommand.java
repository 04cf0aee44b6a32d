package lemonrail.lab;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import lemonrail.lab.cli.Interrupts;
import lemonrail.lab.cli.Times;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The first minute of a new user. */
@Command(
        name = "demo",
        description = {
            "Run an edge before stand-in endpoints on this machine and show what it does.",
            "Now and then one endpoint fails or falls silent: watch the edge send its requests elsewhere."
        })
final class DemoCommand implements Callable<Integer> {

    private static final int MOST_RATE = 2000;

    @Option(
            names = {"-c", "--config"},
            paramLabel = "FILE",
            defaultValue = "${sys:lemonrail.home:-.}/deploy/lemonrail.toml",
            description = "the operators' file to take classes and limits from; its addresses are not used "
                    + "(the example in deploy)")
    private Path config;

    @Option(
            names = "--for",
            paramLabel = "TIME",
            converter = Times.class,
            defaultValue = "10m",
            description = "end by itself after this time, as in 10s or 2m (${DEFAULT-VALUE}), or earlier when "
                    + "interrupted")
    private double lengthMs;

    @Option(names = "--rate", defaultValue = "40", description = "requests a second (${DEFAULT-VALUE})")
    private int rate;

    @Option(names = "--endpoints", defaultValue = "3", description = "stand-in endpoints (${DEFAULT-VALUE})")
    private int endpoints;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "for what the endpoints take and when they are in trouble (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--calm", description = "no endpoint fails or falls silent")
    private boolean calm;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (rate < 1 || rate > MOST_RATE) {
            throw new IllegalArgumentException("--rate = " + rate + ": must be from 1 to " + MOST_RATE);
        }
        if (endpoints < 1 || endpoints > 32) {
            throw new IllegalArgumentException("--endpoints = " + endpoints + ": must be from 1 to 32");
        }
        if (lengthMs <= 0) {
            throw new IllegalArgumentException("--for: must be more than 0ms");
        }
        PrintWriter out = spec.commandLine().getOut();
        try (Interrupts interrupts = new Interrupts();
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
            return demo.isSound() ? 0 : 1;
        }
    }
}
