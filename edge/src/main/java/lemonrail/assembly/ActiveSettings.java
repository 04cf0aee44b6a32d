package lemonrail.assembly;

import lemonrail.config.SettingsDocument;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.discovery.SettingsOutcome;
import lemonrail.exchange.RequestDispatcher;

/**
 * The balancer settings in effect: those of the configuration, overridden by the settings document that the
 * control nodes serve. Documents are applied on the event loop; the longest deadline may be read from any thread.
 */
final class ActiveSettings {

    private final BalancerSettings configured;
    private final RequestDispatcher<?, ?> dispatcher;
    private volatile BalancerSettings active;

    ActiveSettings(BalancerSettings configured, RequestDispatcher<?, ?> dispatcher) {
        this.configured = configured;
        this.dispatcher = dispatcher;
        active = configured;
    }

    /**
     * Applies all values of a settings document, or none of them if the document is rejected.
     *
     * @param document text in the format of the operators' file, or null to return to the configured settings
     */
    SettingsOutcome apply(String document) {
        try {
            BalancerSettings next =
                    document == null ? configured : SettingsDocument.applyOverrides(configured, document);
            if (!dispatcher.updateSettings(next)) {
                return new SettingsOutcome.Rejected(
                        "the load balancer of this edge does not support changing settings at run time");
            }
            active = next;
            return new SettingsOutcome.Applied();
        } catch (IllegalArgumentException e) {
            return new SettingsOutcome.Rejected(e.getMessage());
        }
    }

    /** Returns the longest deadline of any request class, in milliseconds. */
    long longestDeadlineMs() {
        return active.classes().stream()
                .mapToLong(requestClass -> (long) requestClass.deadlineMs())
                .max()
                .orElse(0);
    }
}
