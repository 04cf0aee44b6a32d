import java.nio.file.Files;
import java.nio.file.Path;

/** Runs a case: its arguments are the root of the project, the folder of the case, and 0 for no disruption. */
abstract class Case {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    Path root;
    Path folder;
    /** Whether the disruption takes place. */
    boolean trouble;

    /** Returns the exit status. */
    abstract int run() throws Exception;

    final void start(String[] arguments) {
        int status = COULD_NOT_RUN;
        try {
            root = Path.of(arguments[0]);
            Record.open(Path.of(arguments[1]).resolve("record.txt"));
            trouble = !"0".equals(arguments[2]);
            folder = Path.of(arguments[3]);
            Files.createDirectories(folder);
            Record.say("disruption: %s", trouble ? "yes" : "no");
            status = run();
        } catch (Exception e) {
            Record.say("the case could not run: %s", e);
        }
        Record.say("exit status %d: %s", status, status == HELD ? "held" : status == BROKEN ? "BROKEN" : "could not run");
        System.exit(status);
    }
}
