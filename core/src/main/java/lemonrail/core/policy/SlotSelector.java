package lemonrail.core.policy;

/** Chooses the slot for an attempt. */
final class SlotSelector {

    private final SlotPool pool;
    private final SlotEligibility eligibility;

    SlotSelector(SlotPool pool, SlotEligibility eligibility) {
        this.pool = pool;
        this.eligibility = eligibility;
    }

    /**
     * Returns the free slot of lowest rank that the request may use, or null if there is none. Endpoints that are its
     * second choice are used only if no other has a slot.
     */
    Slot choose(double nowMs, InFlightRequest request) {
        Slot best = pool.firstUsable(slot ->
                eligibility.mayUse(nowMs, request, slot) && !eligibility.isSecondChoice(request, slot.endpoint()));
        return best != null ? best : pool.firstUsable(slot -> eligibility.mayUse(nowMs, request, slot));
    }
}
