package lemonrail.lab.cli;

import com.fasterxml.jackson.databind.node.TextNode;
import lemonrail.config.ValueType;

/** Times as the files have them, in options. */
final class Times {

    private static final double DAY_MS = 86_400_000;
    private static final ValueType<Double> TIME = ValueType.duration(0, DAY_MS);

    private Times() {
    }

    /** Milliseconds. */
    static double ms(String option, String text) {
        Double ms = TIME.read().apply(TextNode.valueOf(text));
        if (ms == null) {
            throw new IllegalArgumentException(option + " " + text + ": must be " + TIME.allowed());
        }
        return ms;
    }
}
