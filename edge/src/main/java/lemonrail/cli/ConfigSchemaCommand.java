package lemonrail.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import lemonrail.config.SchemaPrinter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints the schema of the operators' file. */
@Command(name = "schema", description = "Show all tables and keys of the operators' file.")
final class ConfigSchemaCommand implements Callable<Integer> {

    /** The output formats of the schema. */
    enum Format {
        TEXT,
        JSON
    }

    @Option(
            names = "--format",
            defaultValue = "text",
            description = "text, or json for a JSON Schema (2020-12); default: text")
    private Format format;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        out.print(format == Format.JSON ? SchemaPrinter.json() : SchemaPrinter.text());
        out.flush();
        return Main.OK;
    }
}
