package lemonrail.lab.scale.path;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Whether a sidecar adds as little as it may.
 *
 * @param whole the measurements that the verdict needs are there, and none of them is void
 * @param missed targets that were missed, each with its figure
 */
record PathVerdict(boolean whole, List<String> missed) {

    /** What a sidecar may add to a call, 99 in 100, in ms; the users' target. */
    static final double MOST_ADDED_MS = 0.42;

    /** What was measured at one rate, all rounds together. */
    record Compared(int rate, PathRow direct, PathRow relay, PathRow sidecar) {

        /**
         * What the sidecar adds at a percentile in ms. The difference of two percentiles is not the
         * percentile of the difference; the chain's steps, which know each call's own, say how far it is off.
         */
        double addedMs(double percentile) {
            return sidecar.ms(percentile) - direct.ms(percentile);
        }

        /** The same of the relay. */
        double relayAddsMs(double percentile) {
            return relay.ms(percentile) - direct.ms(percentile);
        }

        boolean isVoid() {
            return direct.isVoid() || relay.isVoid() || sidecar.isVoid();
        }
    }

    /** Judges what was compared, and the steps of a chain. */
    static PathVerdict of(List<Compared> rates, List<PathRow> steps) {
        List<String> missed = new ArrayList<>();
        boolean whole = !rates.isEmpty() && !steps.isEmpty();
        for (Compared compared : rates) {
            whole &= !compared.isVoid();
            mind(missed, compared.rate + " calls/s", compared.addedMs(99));
            if (compared.sidecar.isUnserved()) {
                missed.add(compared.rate + " calls/s: " + compared.sidecar.served() + " of " + compared.sidecar.sent()
                        + " served");
            }
        }
        for (PathRow step : steps) {
            whole &= !step.isVoid();
            mind(missed, "step " + step.step() + " of the chain", step.ms(99));
        }
        return new PathVerdict(whole, missed);
    }

    private static void mind(List<String> missed, String where, double addedMs) {
        if (!(addedMs <= MOST_ADDED_MS)) {
            missed.add(String.format(
                    Locale.ROOT, "%s: %.3f ms added for 99 in 100, above %.2f", where, addedMs, MOST_ADDED_MS));
        }
    }

    /** Whether all that was asked is shown. */
    boolean isMet() {
        return whole && missed.isEmpty();
    }
}
