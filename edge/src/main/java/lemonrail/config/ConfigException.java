package lemonrail.config;

import java.util.List;

/** Thrown if a configuration is invalid; contains all of its problems. */
public final class ConfigException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    private final transient List<ConfigProblem> problems;

    ConfigException(ConfigProblem problem) {
        this(List.of(problem));
    }

    ConfigException(List<ConfigProblem> problems) {
        super(buildMessage(problems));
        this.problems = List.copyOf(problems);
    }

    private static String buildMessage(List<ConfigProblem> problems) {
        int otherCount = problems.size() - 1;
        return problems.get(0) + (otherCount == 0 ? "" : " (and " + otherCount + " more; `lemonrail check` lists all)");
    }

    /** Returns all problems, in the order of the file. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
