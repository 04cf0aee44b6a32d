package lemonrail.cli;

import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads from Linux which signals this process ignores; a JVM keeps those ignored that were so at its start. */
final class SignalMask {

    /** The number of SIGHUP, the same on all Unix systems. */
    static final int HUP = 1;

    private static final Path STATUS = Path.of("/proc/self/status");
    private static final String FIELD = "SigIgn:";
    private static final int HEXADECIMAL_RADIX = 16;

    private SignalMask() {}

    /** Returns whether this process ignores a signal; false where the system does not report it. */
    static boolean ignores(int signal) {
        try {
            return ignores(Files.readAllLines(STATUS), signal);
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the same from the lines of proc_pid_status(5), where bit n - 1 of the mask stands for signal n. */
    static boolean ignores(List<String> statusLines, int signal) {
        try {
            return statusLines.stream()
                    .filter(line -> line.startsWith(FIELD))
                    .findFirst()
                    .map(line -> new BigInteger(line.substring(FIELD.length()).trim(), HEXADECIMAL_RADIX))
                    .orElse(BigInteger.ZERO)
                    .testBit(signal - 1);
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
