package lemonrail.config;

import java.util.List;

/** Thrown where a configuration cannot be used; holds all of its problems. */
public final class ConfigException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    private final transient List<ConfigProblem> problems;

    ConfigException(ConfigProblem problem) {
        this(List.of(problem));
    }

    ConfigException(List<ConfigProblem> problems) {
        super(message(problems));
        this.problems = List.copyOf(problems);
    }

    private static String message(List<ConfigProblem> problems) {
        int others = problems.size() - 1;
        return problems.get(0) + (others == 0 ? "" : " (and " + others + " more; `lemonrail check` names all)");
    }

    /** Returns all problems, in the order of the file. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
