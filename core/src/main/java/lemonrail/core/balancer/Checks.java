package lemonrail.core.balancer;

/**
 * Checks of record components. Each throws an {@link IllegalArgumentException} that names the value as the settings
 * and the platform do, since operators read these messages beside their configuration.
 */
final class Checks {

    private Checks() {}

    static void positive(String name, double value) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(name + " must be above 0 but is " + value);
        }
    }

    static void notNegative(String name, double value) {
        if (!(value >= 0)) {
            throw new IllegalArgumentException(name + " must be 0 or more but is " + value);
        }
    }

    static void finite(String name, double value) {
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(name + " must be a finite number but is " + value);
        }
    }

    static void given(String name, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(name + " must be given but is null");
        }
    }
}
