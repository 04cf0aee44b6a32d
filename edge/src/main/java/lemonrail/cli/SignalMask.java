package lemonrail.cli;

import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The signals that this process has been started to ignore, as Linux tells; a JVM leaves them ignored. */
final class SignalMask {

    /** The number of SIGHUP, the same on all systems. */
    static final int HUP = 1;

    private static final Path STATUS = Path.of("/proc/self/status");
    private static final String FIELD = "SigIgn:";
    private static final int HEXADECIMAL = 16;

    private SignalMask() {}

    /** Whether this process ignores a signal; false where the system does not tell. */
    static boolean ignores(int signal) {
        try {
            return ignores(Files.readAllLines(STATUS), signal);
        } catch (IOException e) {
            return false;
        }
    }

    /** The same by the lines of proc_pid_status(5): bit n - 1 of the mask stands for signal n. */
    static boolean ignores(List<String> status, int signal) {
        try {
            return status.stream()
                    .filter(line -> line.startsWith(FIELD))
                    .findFirst()
                    .map(line -> new BigInteger(line.substring(FIELD.length()).trim(), HEXADECIMAL))
                    .orElse(BigInteger.ZERO)
                    .testBit(signal - 1);
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
