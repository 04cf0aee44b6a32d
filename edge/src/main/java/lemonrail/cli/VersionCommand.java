package lemonrail.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints the version. */
@Command(name = "version", description = "Print the version.")
final class VersionCommand implements Callable<Integer> {

    /** Provides the version for the option {@code --version}. */
    static final class Provider implements IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {version()};
        }
    }

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().getOut().println(version());
        return Main.OK;
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return "lemonrail " + (version == null ? "(not packaged)" : version);
    }
}
