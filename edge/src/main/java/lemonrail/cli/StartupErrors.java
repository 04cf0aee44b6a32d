package lemonrail.cli;

import java.io.PrintStream;

/** Prints why a process could not start or reload, one line for people. */
final class StartupErrors {

    private StartupErrors() {}

    /** Prints the first line of a message; returns the exit status. */
    static int print(PrintStream errors, Exception e, int status) {
        String message = e.getMessage() == null
                ? e.toString()
                : e.getMessage().lines().findFirst().orElse("");
        errors.println("lemonrail: " + message);
        return status;
    }
}
