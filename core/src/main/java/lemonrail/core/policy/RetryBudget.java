package lemonrail.core.policy;

/**
 * The retry budget of all requests together. Without it retries would amplify an overload and multiply from tier to
 * tier.
 */
final class RetryBudget {

    private static final double TOKENS_PER_REQUEST = 0.2;
    /** The maximum number of saved tokens, for moments when many endpoints fail. */
    private static final double BURST_CAPACITY = 10;

    private double tokens = BURST_CAPACITY;

    /** Adds the part of a token that each request contributes. */
    void onRequest() {
        tokens = Math.min(BURST_CAPACITY, tokens + TOKENS_PER_REQUEST);
    }

    boolean hasToken() {
        return tokens >= 1;
    }

    /** Takes the token for one retry. */
    void takeToken() {
        tokens--;
    }
}
