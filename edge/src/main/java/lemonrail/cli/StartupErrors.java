package lemonrail.cli;

import java.io.PrintStream;

/** Prints why a process could not start or reload, as one line on standard error. */
final class StartupErrors {

    private StartupErrors() {}

    /** Prints the first line of an exception's message; returns {@code status}. */
    static int print(PrintStream errors, Exception e, int status) {
        String message = e.getMessage() == null
                ? e.toString()
                : e.getMessage().lines().findFirst().orElse("");
        errors.println("lemonrail: " + message);
        return status;
    }
}
