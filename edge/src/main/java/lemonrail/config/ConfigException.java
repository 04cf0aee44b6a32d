package lemonrail.config;

import java.util.List;

/** A configuration cannot be used; it names all that is wrong with it. */
public final class ConfigException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    private final transient List<ConfigProblem> problems;

    ConfigException(List<ConfigProblem> problems) {
        super(problems.get(0)
                + (problems.size() == 1
                        ? ""
                        : " (and " + (problems.size() - 1) + " more; `lemonrail check` names all)"));
        this.problems = List.copyOf(problems);
    }

    /** All that is wrong, in the order of the file. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
