package lemonrail.core.balancer;

/**
 * Checks of record components. Each throws an {@link IllegalArgumentException} that names the value by the key in the
 * platform's settings or messages, so that operators can find it in their configuration.
 */
final class Checks {

    private Checks() {}

    static void requirePositive(String name, double value) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(name + " must be above 0 but is " + value);
        }
    }

    static void requireNonNegative(String name, double value) {
        if (!(value >= 0)) {
            throw new IllegalArgumentException(name + " must be 0 or more but is " + value);
        }
    }

    static void requireFinite(String name, double value) {
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(name + " must be a finite number but is " + value);
        }
    }

    static void requireNonNull(String name, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(name + " must be given but is null");
        }
    }
}
