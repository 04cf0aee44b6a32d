package lemonrail.core.policy;

/**
 * The budget of retries for all requests together. Retries would else amplify an overload, and multiply from tier to
 * tier.
 */
final class RetryBudget {

    private static final double TOKENS_PER_REQUEST = 0.2;
    /** Tokens that may be saved up, for the moment when many endpoints fail. */
    private static final double BURST_CAPACITY = 10;

    private double tokens = BURST_CAPACITY;

    /** Adds a request's part. */
    void onRequest() {
        tokens = Math.min(BURST_CAPACITY, tokens + TOKENS_PER_REQUEST);
    }

    boolean hasToken() {
        return tokens >= 1;
    }

    /** Spends the token of one retry. */
    void spend() {
        tokens--;
    }
}
