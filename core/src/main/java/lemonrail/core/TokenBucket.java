package lemonrail.core;

/** A rate with savings: tokens come evenly up to a bound, and each use takes one. It starts full. */
public final class TokenBucket {

    private double perMs;
    private double most;
    private double tokens;
    private double toppedUp;

    /** A bucket that gains so many tokens a millisecond and holds so many at most. */
    public TokenBucket(double perMs, double most) {
        this.perMs = perMs;
        this.most = most;
    }

    /** Gains so many tokens a millisecond and holds so many at most from now on; what is saved stays. */
    public void rate(double gainPerMs, double mostHeld) {
        perMs = gainPerMs;
        most = mostHeld;
    }

    /** Takes a token, if there is one at this time in milliseconds. */
    public boolean take(double now) {
        tokens = toppedUp == 0 ? most : Math.min(most, tokens + perMs * (now - toppedUp));
        toppedUp = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
